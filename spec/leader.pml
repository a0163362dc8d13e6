/*
 * Two hosts and one key of the store that goes with its holder's lease. A host claims the key when it is
 * absent, renews the lease and may order while its own clock says that the lease cannot have ended.
 * Answers come late or not at all, a claim without an answer may be carried out later, and hosts stand still
 * at any point.
 *
 * A leader whose lease has ended may claim the key again and go on with what it knows, if the term key, which
 * each claim writes, is as it wrote it.
 *
 * Properties: OneLeader (whoever may order holds the key), Rising (each holder has a higher epoch than all
 * before it), Epoch (whoever may order knows the epoch that the store has for it),
 * Kept (whoever goes on with what it knows was the last to lead).
 *
 * Implemented by: src/libcontrol/leadership.cpp (claim, renewal, validity), work_driver.cpp (the check right
 * before an order leaves).
 *
 * FAULT_VALID_FROM_ANSWER: validity counts from the answer. FAULT_STEADY_CLOCK: by a clock that does not count
 * the time in which the host stood still. FAULT_CHECK_EARLY: the check is made before something that takes
 * time. FAULT_CLAIM_ALWAYS: a claim goes through whoever holds the key. FAULT_UNANSWERED_IS_WON: a claim
 * without an answer counts as won. FAULT_RENEW_REVIVES: a renewal brings back what has ended.
 * FAULT_RECLAIM_ANY: the key is claimed again whoever has led since. FAULT_RECLAIM_KEEPS_EPOCH: under the
 * former epoch.
 */

#define HOSTS 2
#define LEASE 2
#define END 5
#define MOST_CLAIMS 3
#define MOST_RENEWALS 1

byte now = 0;
byte holder = HOSTS; /* HOSTS: the key is absent */
byte epoch = 0;
byte until = 0;
byte last = HOSTS; /* who led last */

byte frozen[HOSTS]; /* time in which the host stood still */
/* A claim that may still be carried out: its lease's number, 0: none, and its end unless renewed. */
byte pending[HOSTS];
byte pendingUntil[HOSTS];
byte lease = 0; /* the holder's */
byte leases = 0;

#ifdef FAULT_STEADY_CLOCK
#define CLOCK(h) (now - frozen[h])
#else
#define CLOCK(h) (now)
#endif

/* A claim as the store carries it out: the key goes with a lease that was granted before. */
inline claim(h, number, end)
{
  if
#ifdef FAULT_CLAIM_ALWAYS
  :: now < end ->
#else
  :: holder == HOSTS && now < end ->
#endif
    holder = h;
    last = h;
    epoch++;
    lease = number;
    until = end
  :: else
  fi
}

active proctype Time()
{
  do
  :: atomic {
      now < END ->
      now++;
      if
      :: holder != HOSTS && until <= now -> holder = HOSTS
      :: else
      fi;
#ifdef FAULT_STEADY_CLOCK
      /* Any one host may stand still for this moment; elsewhere that is no more than being slow. */
      if
      :: true
      :: frozen[0]++
      :: frozen[1]++
      fi
#endif
    }
  /* A claim whose answer was given up on is carried out now. */
  :: atomic { pending[1] > 0 -> claim(1, pending[1], pendingUntil[1]); pending[1] = 0; pendingUntil[1] = 0 }
  :: now == END -> break
  od
}

proctype Host(byte h)
{
  byte mine = 0; /* epoch; 0: does not lead */
  byte valid = 0;
  byte asked = 0;
  byte told = 0;
  byte highest = 0;
  byte granted = 0;
  byte renewals = 0;
  byte end = 0;
  do
  :: now == END || (mine == 0 && leases == MOST_CLAIMS) -> break
  :: mine == 0 && now < END && leases < MOST_CLAIMS ->
    asked = CLOCK(h);
    atomic { leases++; granted = leases; end = now + LEASE };
    told = 0;
    if
    :: atomic { /* carried out and answered */
        skip;
        claim(h, granted, end);
        if
        :: holder == h && lease == granted -> told = epoch
        :: else
        fi
      }
    :: atomic { skip; claim(h, granted, end) } /* carried out, the answer is lost */
    /* Carried out later, perhaps; of one host, the other is the same. */
    :: atomic { h == 1 && pending[1] == 0 -> pending[1] = granted; pendingUntil[1] = end }
    fi;
#ifdef FAULT_VALID_FROM_ANSWER
    asked = CLOCK(h);
#endif
    if
    :: told != 0 -> mine = told; valid = asked + LEASE; assert(mine > highest); highest = mine
    :: told == 0 ->
      /* Without an answer the key itself is read. */
#ifdef FAULT_UNANSWERED_IS_WON
      atomic { mine = epoch; valid = asked + LEASE }
#else
      atomic {
        if
        :: holder == h && lease == granted ->
          mine = epoch; valid = asked + LEASE; assert(mine > highest); highest = mine /* Rising */
        :: else
        fi
      }
#endif
    fi;
    atomic { asked = 0; told = 0; end = 0 }
  :: mine != 0 ->
    if
    :: renewals < MOST_RENEWALS -> /* its answer may take any time */
      renewals++;
      asked = CLOCK(h);
      atomic {
        if
#ifdef FAULT_RENEW_REVIVES
        :: true -> holder = h; lease = granted; until = now + LEASE; told = 1
#else
        :: holder == h && lease == granted -> until = now + LEASE; told = 1
        :: !(holder == h && lease == granted) -> told = 0
#endif
        fi
      };
#ifdef FAULT_VALID_FROM_ANSWER
      asked = CLOCK(h);
#endif
      if
      :: told == 1 -> valid = asked + LEASE
      :: told == 1 -> skip /* the answer is lost */
      :: told == 0 && leases < MOST_CLAIMS ->
        valid = 0;
        asked = CLOCK(h);
        atomic { leases++; granted = leases; end = now + LEASE };
        atomic {
          if
#ifdef FAULT_RECLAIM_ANY
          :: holder == HOSTS && now < end ->
#else
          :: holder == HOSTS && now < end && epoch == mine ->
#endif
            assert(last == h); /* Kept */
            holder = h;
            epoch++;
            lease = granted;
            until = end;
#ifndef FAULT_RECLAIM_KEEPS_EPOCH
            mine = epoch;
#endif
            valid = asked + LEASE
          :: else -> mine = 0
          fi
        }
      :: told == 0 -> mine = 0; valid = 0
      fi;
      atomic { asked = 0; told = 0; end = 0 }
    :: true -> /* an order */
#ifdef FAULT_CHECK_EARLY
      if
      :: CLOCK(h) < valid -> told = 1
      :: else -> told = 0
      fi;
      assert(told == 0 || (holder == h && epoch == mine))
#else
      atomic {
        if
        :: CLOCK(h) < valid ->
          assert(holder == h);    /* OneLeader */
          assert(epoch == mine)   /* Epoch */
        :: else -> mine = 0; valid = 0
        fi;
        told = 0
      }
#endif
    fi
  od
}

init
{
  atomic {
    run Host(0);
    run Host(1)
  }
}

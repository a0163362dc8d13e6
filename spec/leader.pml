/*
 * Model: the election of a leader by one key in the store. The store deletes the key when the lease
 * of its holder ends.
 *
 * Two hosts compete. A host claims the key when it is absent, and renews the lease. It may send
 * orders (commands to workers) while its lease cannot have ended, judged by its own clock. Answers
 * arrive late or not at all, a claim without an answer may be carried out later, and a host may
 * pause at any point.
 *
 * A leader whose lease has ended may reclaim the key and continue with its state in memory if the
 * term key, which each claim writes, is still as its own claim has written it.
 *
 * Properties
 *   OneLeader  a host that may send orders holds the key.
 *   Rising     each leader has a higher epoch than all leaders before it.
 *   Epoch      a host that may send orders has the epoch that the store has for it.
 *   Kept       a host that continues with its state in memory was the last leader.
 *
 * Seeded faults
 *   FAULT_VALID_FROM_ANSWER    the validity of a lease counts from the answer, not the request.
 *   FAULT_STEADY_CLOCK         validity is measured by a clock that stops while the host is
 *                              suspended.
 *   FAULT_CHECK_EARLY          validity is checked before the order, and time may pass in between.
 *   FAULT_CLAIM_ALWAYS         a claim succeeds although another host holds the key.
 *   FAULT_UNANSWERED_IS_WON    a claim without an answer counts as successful.
 *   FAULT_RENEW_REVIVES        a renewal restores a lease that has ended.
 *   FAULT_RECLAIM_ANY          a former leader reclaims the key although another has led since.
 *   FAULT_RECLAIM_KEEPS_EPOCH  a leader that has reclaimed the key goes on under its former epoch.
 *
 * Implemented by: src/libcontrol/leadership.cpp (claim, renewal, validity),
 * src/libcontrol/work_driver.cpp (the check right before an order is sent).
 */

#define HOSTS 2
#define LEASE_TICKS 2
#define LAST_TICK 5 /* the last tick of a search */
#define MAX_CLAIMS 3
#define MAX_RENEWALS 1

byte now = 0;
byte holder = HOSTS; /* HOSTS: the key is absent */
byte epoch = 0; /* of the last claim; the store keeps it in the term key */
byte leaseEnd = 0; /* tick at which the holder's lease ends */
byte lastLeader = HOSTS; /* host whose claim was carried out last */

byte suspendedTicks[HOSTS]; /* ticks that the clock of each host has missed */
/* An unanswered claim that may still be carried out: number (0: none) and end of its lease. */
byte pendingClaim[HOSTS];
byte pendingLeaseEnd[HOSTS];
byte holderLease = 0; /* number of the lease of the key's holder */
byte leasesGranted = 0; /* to both hosts; the last number given out */

/* Time by the clock of host h. */
#ifdef FAULT_STEADY_CLOCK
#define HostClock(h) (now - suspendedTicks[h])
#else
#define HostClock(h) (now)
#endif

/* The store carries out a claim of host h, under a lease that was granted before. */
inline carry_out_claim(h, leaseNumber, grantedUntil)
{
  if
#ifdef FAULT_CLAIM_ALWAYS
  :: now < grantedUntil ->
#else
  :: holder == HOSTS && now < grantedUntil ->
#endif
    holder = h;
    lastLeader = h;
    epoch++;
    holderLease = leaseNumber;
    leaseEnd = grantedUntil
  :: else
  fi
}

active proctype Time()
{
  do
  :: atomic {
      now < LAST_TICK ->
      now++;
      if
      :: holder != HOSTS && leaseEnd <= now -> holder = HOSTS
      :: else
      fi;
#ifdef FAULT_STEADY_CLOCK
      /* One host may be suspended for the tick. Only the seeded fault needs this step: when clocks
         do not stop, a suspended host is just a slow one. */
      if
      :: true
      :: suspendedTicks[0]++
      :: suspendedTicks[1]++
      fi
#endif
    }
  /* An unanswered claim is carried out late. */
  :: atomic {
      pendingClaim[1] > 0 ->
      carry_out_claim(1, pendingClaim[1], pendingLeaseEnd[1]);
      pendingClaim[1] = 0;
      pendingLeaseEnd[1] = 0
    }
  :: now == LAST_TICK -> break
  od
}

proctype Host(byte h)
{
  byte ownEpoch = 0; /* 0: not the leader */
  byte validUntil = 0; /* the lease is valid before this time of the own clock */
  byte requestTime = 0; /* when the request was sent, by the own clock */
  byte answer = 0; /* epoch of a claim, or whether a renewal or check succeeded */
  byte highestEpoch = 0; /* highest epoch held so far */
  byte ownLease = 0; /* number of the own lease */
  byte renewals = 0;
  byte grantedUntil = 0; /* tick at which the granted lease ends unless renewed */
  do
  :: now == LAST_TICK || (ownEpoch == 0 && leasesGranted == MAX_CLAIMS) -> break
  :: ownEpoch == 0 && now < LAST_TICK && leasesGranted < MAX_CLAIMS ->
    requestTime = HostClock(h);
    atomic { leasesGranted++; ownLease = leasesGranted; grantedUntil = now + LEASE_TICKS };
    answer = 0;
    if
    :: /* carried out and answered */
      atomic {
        skip;
        carry_out_claim(h, ownLease, grantedUntil);
        if
        :: holder == h && holderLease == ownLease -> answer = epoch
        :: else
        fi
      }
    :: /* carried out, the answer is lost */
      atomic { skip; carry_out_claim(h, ownLease, grantedUntil) }
    /* May be carried out later. Host 1 alone does so, since the hosts are symmetric. */
    :: atomic {
        h == 1 && pendingClaim[1] == 0 ->
        pendingClaim[1] = ownLease;
        pendingLeaseEnd[1] = grantedUntil
      }
    fi;
#ifdef FAULT_VALID_FROM_ANSWER
    requestTime = HostClock(h);
#endif
    if
    :: answer != 0 ->
      ownEpoch = answer;
      validUntil = requestTime + LEASE_TICKS;
      assert(ownEpoch > highestEpoch); /* Rising */
      highestEpoch = ownEpoch
    :: answer == 0 ->
      /* Without an answer the host reads the key. */
#ifdef FAULT_UNANSWERED_IS_WON
      atomic { ownEpoch = epoch; validUntil = requestTime + LEASE_TICKS }
#else
      atomic {
        if
        :: holder == h && holderLease == ownLease ->
          ownEpoch = epoch;
          validUntil = requestTime + LEASE_TICKS;
          assert(ownEpoch > highestEpoch); /* Rising */
          highestEpoch = ownEpoch
        :: else
        fi
      }
#endif
    fi;
    atomic { requestTime = 0; answer = 0; grantedUntil = 0 }
  :: ownEpoch != 0 ->
    if
    :: renewals < MAX_RENEWALS -> /* a renewal; its answer may take any time */
      renewals++;
      requestTime = HostClock(h);
      atomic {
        if
#ifdef FAULT_RENEW_REVIVES
        :: true -> holder = h; holderLease = ownLease; leaseEnd = now + LEASE_TICKS; answer = 1
#else
        :: holder == h && holderLease == ownLease -> leaseEnd = now + LEASE_TICKS; answer = 1
        :: !(holder == h && holderLease == ownLease) -> answer = 0
#endif
        fi
      };
#ifdef FAULT_VALID_FROM_ANSWER
      requestTime = HostClock(h);
#endif
      if
      :: answer == 1 -> validUntil = requestTime + LEASE_TICKS
      :: answer == 1 -> skip /* the answer is lost */
      :: answer == 0 && leasesGranted < MAX_CLAIMS ->
        validUntil = 0;
        requestTime = HostClock(h);
        atomic { leasesGranted++; ownLease = leasesGranted; grantedUntil = now + LEASE_TICKS };
        atomic {
          if
#ifdef FAULT_RECLAIM_ANY
          :: holder == HOSTS && now < grantedUntil ->
#else
          :: holder == HOSTS && now < grantedUntil && epoch == ownEpoch ->
#endif
            assert(lastLeader == h); /* Kept */
            holder = h;
            epoch++;
            holderLease = ownLease;
            leaseEnd = grantedUntil;
#ifndef FAULT_RECLAIM_KEEPS_EPOCH
            ownEpoch = epoch;
#endif
            validUntil = requestTime + LEASE_TICKS
          :: else -> ownEpoch = 0
          fi
        }
      :: answer == 0 -> ownEpoch = 0; validUntil = 0
      fi;
      atomic { requestTime = 0; answer = 0; grantedUntil = 0 }
    :: true -> /* an order is sent */
#ifdef FAULT_CHECK_EARLY
      if
      :: HostClock(h) < validUntil -> answer = 1
      :: else -> answer = 0
      fi;
      assert(answer == 0 || (holder == h && epoch == ownEpoch))
#else
      atomic {
        if
        :: HostClock(h) < validUntil ->
          assert(holder == h);      /* OneLeader */
          assert(epoch == ownEpoch)  /* Epoch */
        :: else -> ownEpoch = 0; validUntil = 0
        fi;
        answer = 0
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

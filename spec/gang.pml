/*
 * A gang job of two members on three workers, under two schedulers.
 *
 * Scheduler 0 leads and makes at most two attempts. Scheduler 1 is elected at
 * any moment, takes over, and makes at most one. Scheduler 0 does not know
 * that until it asks, or until a worker that has met its successor refuses it.
 *
 * Properties
 *   OneRunning  tasks of two attempts never run at the same time.
 *   AtMostOnce  a non-repeatable job has tasks started by one attempt at most.
 *   Part        a task whose attempt has lost or lacks a member runs PART
 *               ticks at most.
 *   REACH_...   an adopted attempt, a second attempt, an unrecorded attempt
 *               and a part at the very bound are reachable.
 *
 * Rules and where they are implemented
 *   reserve all, record, check, start     src/libjobs/core_attempt.cpp
 *   record by compare-and-swap            src/libjobs/core_records.cpp
 *   stop, or wait for the lapse           src/libjobs/core_attempt.cpp
 *   teach the epoch, list, read, adopt    src/scheduler/scheduler_engine.cpp,
 *                                         src/libjobs/core_takeover.cpp
 *   check right before the start is sent  scheduler_engine::MayStart
 *   act while leadership is confirmed     src/scheduler/leader_quorum.cpp,
 *                                         src/scheduler/queue_leader.cpp
 *   wait after an incomplete takeover     src/libjobs/core_takeover.cpp
 *   renew only what is whole, refusal     not in the code, see
 *     after an unanswered start             docs/design/models.md
 *   leases, refusal of lower epochs       worker (docs/API.md)
 *
 * Failures. Every message may be lost, its answer may be lost, a renewal or a
 * start may arrive late; a scheduler may pause between any two steps or stop
 * for good; a worker that is not reached is one whose messages are lost; one
 * worker dies and comes back without memory. The store may take a write and
 * lose the answer, or be away.
 *
 * Abstracted away: the queue, checkpoints, further jobs on the workers, more
 * than one takeover. Election and announcement to a majority are one step: from
 * then on neither the store nor a majority confirms the old leader. Ages count
 * up to where they stop mattering.
 */

/* Ticks that something outlives; it is over at the next. */
#define RESERVE 0              /* time to live of a reservation */
#define LEASE 1                /* time to live of a running task's lease */
#define HEARD 0                /* renew while all members answered within this */
#define CONFIRMED 0            /* act while leadership was confirmed within this */
/* A renewal may come late, but only while the lease is live: twice its time. */
#ifdef FAULT_SHORT_WAIT
#define WAIT (CONFIRMED + LEASE)
#else
#define WAIT (CONFIRMED + 2 * LEASE)
#endif
#define PART (HEARD + 2 * LEASE)

#define WORKERS 3
#define OFF 255
#define First(pair) (pair)     /* pair 0 is workers 0 and 1, pair 1 is 1 and 2 */
#define Second(pair) (pair + 1)
#define BIT(x) (1 << (x))

/* Searches: a non-repeatable job; a repeatable one, tried again by scheduler 0;
   a repeatable one, tried once by scheduler 0 and then by its successor. */
#if defined(CLEAN_RETRIED) || defined(FAULT_NO_LAPSE_WAIT) || defined(REACH_SECOND_ATTEMPT)
#define REPEATABLE true
#define RETRY true
#define SUCCESSOR false
#elif defined(CLEAN_TAKEN_OVER) || defined(FAULT_LEADER_UNCONFIRMED) || \
      defined(FAULT_NO_WAIT_AFTER_TAKEOVER) || defined(FAULT_ORPHAN_NOT_AWAITED) || \
      defined(REACH_UNRECORDED_ATTEMPT) || defined(FAULT_NO_EPOCH) || \
      defined(FAULT_SHORT_WAIT)
#define REPEATABLE true
#define RETRY false
#define SUCCESSOR true
#else
#define REPEATABLE false
#define RETRY true
#define SUCCESSOR true
#endif

mtype = { FREE, RESERVED, RUNNING, FINISHED };

/* workers */
mtype state[WORKERS] = FREE;
byte task[WORKERS];            /* attempt that holds the worker */
byte left[WORKERS];            /* ticks left of its reservation or lease */
bit metSuccessor[WORKERS];
bit died;

/* job record; attempts 1 and 2 are scheduler 0's, 3 is scheduler 1's */
byte recorded;                 /* attempt in the record; 0: queued */
bool over;                     /* ended, or given up as unknown */
bit writtenBy1;                /* scheduler 0's next compare fails */
bit writtenBy0;                /* scheduler 1's next compare fails */

bit elected;                   /* scheduler 1 */
bit pairOf[4];                 /* workers of each attempt */
byte everStarted;              /* attempts that had a task started */
byte partAge;

byte confirmedAge;             /* of scheduler 0's leadership, as young as it can be */
byte heardAge[4] = HEARD + 1;  /* two members for each scheduler */
byte waitAge[2] = OFF;

#define WorkerOf(a, i) (pairOf[a] + (i))
#define Runs(a, i) (state[WorkerOf(a, i)] == RUNNING && task[WorkerOf(a, i)] == a)
#define IsThere(a, i) \
  ((state[WorkerOf(a, i)] == RUNNING || state[WorkerOf(a, i)] == FINISHED) && task[WorkerOf(a, i)] == a)
#define IsPart(a) ((Runs(a, 0) && !IsThere(a, 1)) || (Runs(a, 1) && !IsThere(a, 0)))
#define IsAnyRunning(a) (Runs(a, 0) || Runs(a, 1))

#ifdef FAULT_NO_EPOCH
#define MayCall(s, w) (true)
#else
#define MayCall(s, w) (s == 1 || !metSuccessor[w])
#endif

#ifdef FAULT_LEADER_UNCONFIRMED
#define IsLeader(s) (true)
#else
#define IsLeader(s) (s == 1 || confirmedAge <= CONFIRMED)
#endif

#define Older(a, last) if :: a <= last -> a++ :: else fi

proctype clock()
{
  byte w;
  do
  :: atomic {
       for (w : 0 .. WORKERS - 1) {
         if
         :: state[w] != RESERVED && state[w] != RUNNING -> skip
         :: else ->
            if
            :: left[w] > 0 -> left[w]--
            :: else -> state[w] = FREE; task[w] = 0
            fi
         fi
       };
       for (w : 0 .. 3) { Older(heardAge[w], HEARD) };
       if :: elected -> Older(confirmedAge, CONFIRMED) :: else fi;
       Older(waitAge[0], WAIT);
       Older(waitAge[1], WAIT);
       if
       :: IsPart(1) || IsPart(2) || IsPart(3) ->
          partAge++;
          assert(partAge <= PART);                                     /* Part */
#ifdef REACH_PART_AT_THE_BOUND
          assert(partAge < PART);
#endif
       :: else -> partAge = 0
       fi;
       w = 0
     }
  od
}

proctype worker(byte w)
{
  do
  :: atomic { w == 1 && state[w] == RUNNING -> state[w] = FINISHED; left[w] = 0 }
  :: atomic { !died -> died = 1; state[w] = FREE; task[w] = 0; left[w] = 0; metSuccessor[w] = 0 }
  od
}

/* A start reaches worker w. */
inline start(s, w, a)
{
  if
  :: state[w] == RESERVED && task[w] == a && MayCall(s, w) ->
     state[w] = RUNNING;
     left[w] = LEASE;
     if
     :: REPEATABLE -> skip
     :: else ->
        everStarted = everStarted | BIT(a);
        assert(everStarted == BIT(a))                                  /* AtMostOnce */
     fi;
     partAge = 0;                                       /* whole, or newly alone */
     assert((a == 1 || !IsAnyRunning(1)) && (a == 2 || !IsAnyRunning(2)) &&
            (a == 3 || !IsAnyRunning(3)));                             /* OneRunning */
     refused = false
  :: state[w] == RUNNING && task[w] == a -> refused = false
  :: else -> refused = true
  fi
}

/* Stops or releases what attempt a holds on worker w; true when that is certain. */
inline stop(s, w, a)
{
  if
  :: MayCall(s, w) ->
     if :: task[w] == a -> state[w] = FREE; task[w] = 0; left[w] = 0 :: else fi;
     if :: true :: unsure = true fi                     /* the answer may be lost */
  :: unsure = true                                      /* the message is lost */
  fi
}

/* A renewal of member m is decided. */
inline send_renewal(m)
{
  atomic {
    !(renewing & BIT(m)) && IsLeader(s) &&
#ifdef FAULT_RENEW_PART
    true ->
#else
    heardAge[2 * s] <= HEARD && heardAge[2 * s + 1] <= HEARD ->
#endif
    renewing = renewing | BIT(m)
  }
}

/* It arrives, perhaps late; or it is lost, or its answer is. */
inline take_renewal(m)
{
  atomic {
    renewing & BIT(m) ->
    renewing = renewing & ~BIT(m);
    if
    :: Runs(a, m) && MayCall(s, WorkerOf(a, m)) ->
       left[WorkerOf(a, m)] = LEASE;
       if :: heardAge[2 * s + m] = 0 :: skip fi
    :: !Runs(a, m) && IsThere(a, m) && MayCall(s, WorkerOf(a, m)) -> heardAge[2 * s + m] = 0
    :: !IsThere(a, m) || !MayCall(s, WorkerOf(a, m)) -> goto abort
    :: true
    fi
  }
}

proctype scheduler(byte s)
{
  byte a;                      /* attempt acted for */
  byte i;
  byte tries;
  byte answered;               /* members that told they run, as bits */
  byte renewing;               /* renewals on their way */
  bool refused;
  bool unsure;                 /* something may still hold a lease */
  bool doubt;                  /* a task of this attempt may have been started */

  if
  :: s == 0 -> a = 1; goto attempt
  :: s == 1
  fi;

  /* ---- takeover: teach each worker the epoch, list it, then read the record */
  elected = 1;
  do
  :: atomic {
       i < WORKERS ->
       if
       :: metSuccessor[i] = 1
       :: skip                                          /* not reached */
       fi;
       i++
     }
  :: atomic { i == WORKERS -> i = 0; break }
  od;

read:
  atomic {
    writtenBy0 = 0;
    if
    :: over -> goto end
    :: !over && recorded == 0 -> a = 0
    :: else -> a = recorded
    fi
  };
  if
  :: a == 0 -> goto orphans
  :: else
  fi;
  /* ask the members of the recorded attempt; adopt it when it is whole */
  atomic {
    for (i : 0 .. 1) {
      if
      :: metSuccessor[WorkerOf(a, i)] && IsThere(a, i) ->
         answered = answered | BIT(i);
         heardAge[2 + i] = 0
      :: skip
      fi
    };
    i = 0
  };
  doubt = true;
  if
  :: answered == 3 ->
#ifdef REACH_ADOPTED
     assert(false);
#endif
     goto running
  :: else -> goto abort
  fi;

orphans:
  /* leases that no record explains are stopped, and their end is awaited */
  atomic {
    for (i : 0 .. WORKERS - 1) {
      if
      :: !metSuccessor[i] -> unsure = true
      :: metSuccessor[i] && task[i] != 0 -> stop(s, i, task[i])
      :: else
      fi
    };
    i = 0;
    waitAge[1] = 0
  };
#ifdef FAULT_ORPHAN_NOT_AWAITED
  unsure = false;
#endif
#ifndef FAULT_NO_WAIT_AFTER_TAKEOVER
  !unsure || waitAge[1] > WAIT;
#endif
  atomic { waitAge[1] = OFF; a = 3 };

  /* ---- one attempt */
attempt:
  atomic {
    unsure = false; doubt = false; answered = 0; tries = 0;
    if :: a == 1 || a == 3 -> pairOf[a] = 0 :: a > 1 -> pairOf[a] = 1 fi
  };
  atomic {
    for (i : 0 .. 1) {
      if
      :: IsLeader(s) && state[WorkerOf(a, i)] == FREE && MayCall(s, WorkerOf(a, i)) ->
         state[WorkerOf(a, i)] = RESERVED;
         task[WorkerOf(a, i)] = a;
         left[WorkerOf(a, i)] = RESERVE;
         if :: true :: i = 0; goto abort fi             /* the answer is lost */
      :: i = 0; goto abort                              /* refused, or not reached */
      fi
    };
    i = 0
  };

  /* ---- record it by compare-and-swap */
  if
  :: atomic {
       (s == 0 && !writtenBy1) || (s == 1 && !writtenBy0) ->
       recorded = a;
       if :: s == 0 -> writtenBy0 = 1 :: else -> writtenBy1 = 1 fi;
       if :: true :: goto abort fi                      /* the answer is lost */
     }
#ifdef FAULT_START_ON_CONFLICT
  :: atomic { (s == 0 && writtenBy1) || (s == 1 && writtenBy0) }
#else
  :: atomic { (s == 0 && writtenBy1) || (s == 1 && writtenBy0) -> goto conflict }
#endif
  :: atomic {                                           /* the store is away */
#ifdef FAULT_UNRECORDED_START
       true
#else
       if :: REPEATABLE :: else -> goto abort fi
#endif
     };
#ifdef REACH_UNRECORDED_ATTEMPT
     assert(false)
#else
     skip
#endif
  fi;

  /* ---- check, then start all; an unanswered start is sent once more */
  do
  :: atomic {
       if
       :: i == 2 -> i = 0; break
       :: i < 2 && (!IsLeader(s) || tries == 2) -> i = 0; goto abort
       :: i < 2 && IsLeader(s) && tries < 2
       fi
     };
     atomic {
       if
       :: start(s, WorkerOf(a, i), a);
          if
          :: !refused ->
             doubt = true;
             if
             :: answered = answered | BIT(i); heardAge[2 * s + i] = 0; i++; tries = 0
             :: tries++                                 /* the answer is lost */
             fi
          :: refused ->
#ifdef FAULT_REFUSAL_AFTER_UNKNOWN
             if :: tries > 0 && answered == 0 -> doubt = false :: else fi;
#endif
             i = 0; goto abort
          fi
       :: doubt = true; tries++                         /* the message is lost */
       fi
     }
  od;

  /* ---- renew while all members answer */
running:
  atomic { answered = 0; tries = 0; doubt = true };
  do
  :: send_renewal(0)
  :: send_renewal(1)
  :: take_renewal(0)
  :: take_renewal(1)
  :: atomic { heardAge[2 * s] > HEARD || heardAge[2 * s + 1] > HEARD -> goto abort }
  od;

  /* ---- stop all members; a stop in doubt waits for the lapse */
abort:
  atomic {
    unsure = unsure || renewing != 0;
    renewing = 0;
    heardAge[2 * s] = HEARD + 1; heardAge[2 * s + 1] = HEARD + 1;
    stop(s, WorkerOf(a, 0), a);
    stop(s, WorkerOf(a, 1), a);
    waitAge[s] = 0
  };
#ifndef FAULT_NO_LAPSE_WAIT
  !unsure || waitAge[s] > WAIT;
#endif

  /* ---- again, or unknown for ever */
  waitAge[s] = OFF;
  if
  :: atomic { (s == 0 && writtenBy1) || (s == 1 && writtenBy0) -> goto conflict }
  :: atomic { (s == 0 && !writtenBy1) || (s == 1 && !writtenBy0) ->
       if :: s == 0 -> writtenBy0 = 1 :: else -> writtenBy1 = 1 fi;
       if
       :: REPEATABLE || !doubt -> recorded = 0
       :: else -> over = true; goto end
       fi }
  fi;
  if
  :: atomic { s == 0 && a == 1 && RETRY ->
       a = 2;
#ifdef REACH_SECOND_ATTEMPT
       assert(false);
#endif
       goto attempt }
  :: atomic { s == 1 && a < 3 -> unsure = false; goto orphans }
  :: else -> goto end
  fi;

conflict:
  /* the other has written: scheduler 0 lets go, scheduler 1 reads again */
  if
  :: atomic { s == 1 -> unsure = false; answered = 0; goto read }
  :: s == 0
  fi;
end:
  atomic { a = 0; i = 0; tries = 0; answered = 0; refused = false; unsure = false; doubt = false }
}

init {
  byte w;
  atomic {
    run clock();
    for (w : 0 .. WORKERS - 1) { run worker(w) };
    run scheduler(0);
    if :: SUCCESSOR -> run scheduler(1) :: else fi
  }
}

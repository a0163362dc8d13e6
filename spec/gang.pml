/*
 * Model: a gang job of two members on three workers, under two schedulers.
 *
 * Scheduler 0 leads and makes at most two attempts to run the job. Scheduler 1 is
 * elected at any moment, takes over, and makes at most one attempt. Scheduler 0
 * learns of the election only when it asks for a confirmation of its leadership, or
 * when a worker refuses its call because the worker has seen the successor's epoch.
 *
 * Properties
 *   OneRunning  tasks of two attempts never run at the same time.
 *   AtMostOnce  of a non-repeatable job, at most one attempt has tasks started.
 *   Part        a task whose attempt lacks or has lost a member runs for at most
 *               MAX_PARTIAL_TICKS.
 *
 * Searches
 *   CLEAN             a non-repeatable job, both schedulers.
 *   CLEAN_RETRIED     a repeatable job, tried twice by scheduler 0.
 *   CLEAN_TAKEN_OVER  a repeatable job, tried once by scheduler 0, then by scheduler 1.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_ADOPTED             the successor adopts an attempt that runs completely.
 *   REACH_SECOND_ATTEMPT      scheduler 0 makes a second attempt.
 *   REACH_UNRECORDED_ATTEMPT  a repeatable job starts while the store is unreachable.
 *   REACH_PART_AT_THE_BOUND   a task runs without its gang for the longest permitted
 *                             time.
 *
 * Seeded faults
 *   FAULT_LEADER_UNCONFIRMED      scheduler 0 acts without a recent confirmation of its
 *                                 leadership.
 *   FAULT_NO_EPOCH                a worker that has seen the epoch of scheduler 1 still
 *                                 accepts calls from scheduler 0.
 *   FAULT_NO_LAPSE_WAIT           after a stop without an answer, a scheduler goes on
 *                                 without waiting until the lease must have lapsed.
 *   FAULT_NO_WAIT_AFTER_TAKEOVER  the successor starts an attempt without waiting for the
 *                                 leases on workers that it did not reach.
 *   FAULT_ORPHAN_NOT_AWAITED      the successor takes all leases that no record explains
 *                                 to have ended, also those on workers that it did not
 *                                 reach and those whose stop had no answer.
 *   FAULT_REFUSAL_AFTER_UNKNOWN   a refused start is taken to prove that no task was
 *                                 started, although an earlier start had no answer.
 *   FAULT_RENEW_PART              the lease of a member is renewed while the other member
 *                                 does not answer.
 *   FAULT_SHORT_WAIT              the wait for a lapse leaves out that a late renewal may
 *                                 extend a lease once more.
 *   FAULT_START_ON_CONFLICT       tasks are started although the compare-and-swap of the
 *                                 record has failed.
 *   FAULT_UNRECORDED_START        a non-repeatable job is started while the store is
 *                                 unreachable, without a record.
 *
 * Implemented by
 *   reserve all, record, check, start     src/libjobs/core_attempt.cpp
 *   record by compare-and-swap            src/libjobs/core_records.cpp
 *   stop, or wait for the lapse           src/libjobs/core_attempt.cpp
 *   announce the epoch, list, read, adopt src/scheduler/scheduler_engine.cpp,
 *                                         src/libjobs/core_takeover.cpp
 *   check right before a start is sent    src/scheduler/scheduler_engine.cpp
 *   act while leadership is confirmed     src/scheduler/leader_quorum.cpp,
 *                                         src/scheduler/queue_leader.cpp
 *   wait after an incomplete takeover     src/libjobs/core_takeover.cpp
 *   renew complete attempts only, refusal not in the code, see
 *     after an unanswered start             docs/design/models.md
 *   leases, refusal of lower epochs       worker (docs/API.md)
 *
 * Failures in the model. Every message may be lost, and so may its answer; a renewal
 * or a start may arrive late. A scheduler may pause between any two steps or stop for
 * good. An unreachable worker is one whose messages are lost. One worker dies and
 * returns without memory. The store may carry out a write and lose the answer, or be
 * unreachable.
 *
 * Left out: the queue; checkpoints; other jobs on the workers; more than one takeover.
 * Election and announcement to a majority are one step: from then on neither the store
 * nor a majority confirms the former leader. Ages are counted up to the first value
 * from which on they make no difference.
 */

/* Times in ticks. A time of n ticks is exceeded at tick n + 1. */
#define RESERVATION_TTL 0       /* time to live of a reservation */
#define LEASE_TTL 1             /* time to live of a running task's lease */
#define MAX_ANSWER_AGE 0        /* leases are renewed while all members answered within this time */
#define MAX_CONFIRMATION_AGE 0  /* a leader acts while it was confirmed within this time */
/*
 * Time after which a lease must have lapsed: a renewal that arrives late counts only
 * while the lease is live, so a lease lasts for at most twice its time to live.
 */
#ifdef FAULT_SHORT_WAIT
#define LAPSE_WAIT (MAX_CONFIRMATION_AGE + LEASE_TTL)
#else
#define LAPSE_WAIT (MAX_CONFIRMATION_AGE + 2 * LEASE_TTL)
#endif
/* Longest time for which a task may run without its whole gang. */
#define MAX_PARTIAL_TICKS (MAX_ANSWER_AGE + 2 * LEASE_TTL)

#define WORKERS 3
#define OFF 255                /* value of a timer that is not running */
/* Pair 0 is workers 0 and 1, pair 1 is workers 1 and 2. */
#define First(pair) (pair)
#define Second(pair) (pair + 1)
#define BIT(x) (1 << (x))

/* REPEATABLE: the job may run more than once. RETRY: scheduler 0 makes a second attempt.
   SUCCESSOR: scheduler 1 takes part. */
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

/* Workers */
mtype state[WORKERS] = FREE;
byte holder[WORKERS];          /* attempt that holds the reservation or lease */
byte ticksLeft[WORKERS];       /* ticks left of the reservation or lease */
bit sawNewEpoch[WORKERS];      /* has seen the epoch of scheduler 1 */
bit died;                      /* the one death of a worker has happened */

/* Job record. Attempts 1 and 2 are made by scheduler 0, attempt 3 by scheduler 1. */
byte recordedAttempt;          /* attempt in the record; 0: the job is queued */
bool jobOver;                  /* the job ended, or its outcome is unknown */
bit writtenBy1;                /* the next compare by scheduler 0 fails */
bit writtenBy0;                /* the next compare by scheduler 1 fails */

bit elected;                   /* scheduler 1 is elected */
bit pairOf[4];                 /* pair of workers of each attempt */
byte startedAttempts;          /* attempts that had a task started, as bits */
byte partialTicks;             /* ticks for which a task has run without its whole gang */

byte confirmationAge;                    /* least ticks since scheduler 0 was confirmed as leader */
byte answerAge[4] = MAX_ANSWER_AGE + 1;  /* ticks since an answer; index 2 * scheduler + member */
byte waitTicks[2] = OFF;                 /* ticks that each scheduler has waited for a lapse */

#define WorkerOf(a, i) (pairOf[a] + (i))
#define Runs(a, i) (state[WorkerOf(a, i)] == RUNNING && holder[WorkerOf(a, i)] == a)
#define IsPresent(a, i) \
  ((state[WorkerOf(a, i)] == RUNNING || state[WorkerOf(a, i)] == FINISHED) && \
   holder[WorkerOf(a, i)] == a)
#define IsPartial(a) ((Runs(a, 0) && !IsPresent(a, 1)) || (Runs(a, 1) && !IsPresent(a, 0)))
#define IsAnyRunning(a) (Runs(a, 0) || Runs(a, 1))

/* Whether worker w accepts calls from scheduler s. */
#ifdef FAULT_NO_EPOCH
#define Accepts(s, w) (true)
#else
#define Accepts(s, w) (s == 1 || !sawNewEpoch[w])
#endif

/* Whether scheduler s may act as leader. */
#ifdef FAULT_LEADER_UNCONFIRMED
#define MayLead(s) (true)
#else
#define MayLead(s) (s == 1 || confirmationAge <= MAX_CONFIRMATION_AGE)
#endif

/* Counts one tick, up to one more than the limit; OFF stays OFF. */
#define CountTick(a, last) if :: a <= last -> a++ :: else fi

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
            :: ticksLeft[w] > 0 -> ticksLeft[w]--
            :: else -> state[w] = FREE; holder[w] = 0
            fi
         fi
       };
       for (w : 0 .. 3) { CountTick(answerAge[w], MAX_ANSWER_AGE) };
       if :: elected -> CountTick(confirmationAge, MAX_CONFIRMATION_AGE) :: else fi;
       CountTick(waitTicks[0], LAPSE_WAIT);
       CountTick(waitTicks[1], LAPSE_WAIT);
       if
       :: IsPartial(1) || IsPartial(2) || IsPartial(3) ->
          partialTicks++;
          assert(partialTicks <= MAX_PARTIAL_TICKS);                   /* Part */
#ifdef REACH_PART_AT_THE_BOUND
          assert(partialTicks < MAX_PARTIAL_TICKS);
#endif
       :: else -> partialTicks = 0
       fi;
       w = 0
     }
  od
}

proctype worker(byte w)
{
  do
  :: /* a task finishes; that of worker 1 is enough */
     atomic { w == 1 && state[w] == RUNNING -> state[w] = FINISHED; ticksLeft[w] = 0 }
  :: /* the worker dies and returns without memory */
     atomic {
       !died ->
       died = 1; state[w] = FREE; holder[w] = 0; ticksLeft[w] = 0; sawNewEpoch[w] = 0
     }
  od
}

/* A start for attempt a, sent by scheduler s, reaches worker w. */
inline receive_start(s, w, a)
{
  if
  :: state[w] == RESERVED && holder[w] == a && Accepts(s, w) ->
     state[w] = RUNNING;
     ticksLeft[w] = LEASE_TTL;
     if
     :: REPEATABLE -> skip
     :: else ->
        startedAttempts = startedAttempts | BIT(a);
        assert(startedAttempts == BIT(a))                              /* AtMostOnce */
     fi;
     partialTicks = 0;  /* the gang is complete, or its first task starts */
     assert((a == 1 || !IsAnyRunning(1)) && (a == 2 || !IsAnyRunning(2)) &&
            (a == 3 || !IsAnyRunning(3)));                             /* OneRunning */
     refused = false
  :: state[w] == RUNNING && holder[w] == a -> refused = false
  :: else -> refused = true
  fi
}

/* Stops or releases what attempt a holds on worker w; sets leaseMayBeLive unless the end is
   certain. */
inline stop_lease(s, w, a)
{
  if
  :: Accepts(s, w) ->
     if :: holder[w] == a -> state[w] = FREE; holder[w] = 0; ticksLeft[w] = 0 :: else fi;
     if :: true :: leaseMayBeLive = true fi             /* the answer may be lost */
  :: leaseMayBeLive = true                              /* the message is lost */
  fi
}

/* The scheduler sends a renewal of the lease of member m. */
inline send_renewal(m)
{
  atomic {
    !(renewals & BIT(m)) && MayLead(s) &&
#ifdef FAULT_RENEW_PART
    true ->
#else
    answerAge[2 * s] <= MAX_ANSWER_AGE && answerAge[2 * s + 1] <= MAX_ANSWER_AGE ->
#endif
    renewals = renewals | BIT(m)
  }
}

/* A renewal of the lease of member m arrives, perhaps late; it or its answer may be lost. */
inline receive_renewal(m)
{
  atomic {
    renewals & BIT(m) ->
    renewals = renewals & ~BIT(m);
    if
    :: Runs(a, m) && Accepts(s, WorkerOf(a, m)) ->
       ticksLeft[WorkerOf(a, m)] = LEASE_TTL;
       if :: answerAge[2 * s + m] = 0 :: skip fi
    :: !Runs(a, m) && IsPresent(a, m) && Accepts(s, WorkerOf(a, m)) -> answerAge[2 * s + m] = 0
    :: !IsPresent(a, m) || !Accepts(s, WorkerOf(a, m)) -> goto abort
    :: true
    fi
  }
}

proctype scheduler(byte s)
{
  byte a;                      /* current attempt */
  byte i;
  byte tries;
  byte answered;               /* members that answered that they run, as bits */
  byte renewals;               /* renewals in flight, as bits */
  bool refused;
  bool leaseMayBeLive;         /* a lease may still be live */
  bool mayHaveStarted;         /* a task of the current attempt may have been started */

  if
  :: s == 0 -> a = 1; goto attempt
  :: s == 1
  fi;

  /* ---- takeover: announce the epoch to each worker, list its leases, read the record */
  elected = 1;
  do
  :: atomic {
       i < WORKERS ->
       if
       :: sawNewEpoch[i] = 1
       :: skip                                          /* not reached */
       fi;
       i++
     }
  :: atomic { i == WORKERS -> i = 0; break }
  od;

read_record:
  atomic {
    writtenBy0 = 0;
    if
    :: jobOver -> goto end
    :: !jobOver && recordedAttempt == 0 -> a = 0
    :: else -> a = recordedAttempt
    fi
  };
  if
  :: a == 0 -> goto stop_orphans
  :: else
  fi;
  /* query the members of the recorded attempt; adopt it when all of them run */
  atomic {
    for (i : 0 .. 1) {
      if
      :: sawNewEpoch[WorkerOf(a, i)] && IsPresent(a, i) ->
         answered = answered | BIT(i);
         answerAge[2 + i] = 0
      :: skip
      fi
    };
    i = 0
  };
  mayHaveStarted = true;
  if
  :: answered == 3 ->
#ifdef REACH_ADOPTED
     assert(false);
#endif
     goto running
  :: else -> goto abort
  fi;

stop_orphans:
  /* stop the leases that no record explains, and wait until they have ended */
  atomic {
    for (i : 0 .. WORKERS - 1) {
      if
      :: !sawNewEpoch[i] -> leaseMayBeLive = true
      :: sawNewEpoch[i] && holder[i] != 0 -> stop_lease(s, i, holder[i])
      :: else
      fi
    };
    i = 0;
    waitTicks[1] = 0
  };
#ifdef FAULT_ORPHAN_NOT_AWAITED
  leaseMayBeLive = false;
#endif
#ifndef FAULT_NO_WAIT_AFTER_TAKEOVER
  !leaseMayBeLive || waitTicks[1] > LAPSE_WAIT;
#endif
  atomic { waitTicks[1] = OFF; a = 3 };

  /* ---- one attempt */
attempt:
  atomic {
    leaseMayBeLive = false; mayHaveStarted = false; answered = 0; tries = 0;
    if :: a == 1 || a == 3 -> pairOf[a] = 0 :: a > 1 -> pairOf[a] = 1 fi
  };
  atomic {
    for (i : 0 .. 1) {
      if
      :: MayLead(s) && state[WorkerOf(a, i)] == FREE && Accepts(s, WorkerOf(a, i)) ->
         state[WorkerOf(a, i)] = RESERVED;
         holder[WorkerOf(a, i)] = a;
         ticksLeft[WorkerOf(a, i)] = RESERVATION_TTL;
         if :: true :: i = 0; goto abort fi             /* the answer is lost */
      :: i = 0; goto abort                              /* refused, or not reached */
      fi
    };
    i = 0
  };

  /* ---- record the attempt by compare-and-swap */
  if
  :: atomic {
       (s == 0 && !writtenBy1) || (s == 1 && !writtenBy0) ->
       recordedAttempt = a;
       if :: s == 0 -> writtenBy0 = 1 :: else -> writtenBy1 = 1 fi;
       if :: true :: goto abort fi                      /* the answer is lost */
     }
#ifdef FAULT_START_ON_CONFLICT
  :: atomic { (s == 0 && writtenBy1) || (s == 1 && writtenBy0) }
#else
  :: atomic { (s == 0 && writtenBy1) || (s == 1 && writtenBy0) -> goto conflict }
#endif
  :: atomic {                                           /* the store is unreachable */
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

  /* ---- check, then start all members; an unanswered start is sent once more */
  do
  :: atomic {
       if
       :: i == 2 -> i = 0; break
       :: i < 2 && (!MayLead(s) || tries == 2) -> i = 0; goto abort
       :: i < 2 && MayLead(s) && tries < 2
       fi
     };
     atomic {
       if
       :: receive_start(s, WorkerOf(a, i), a);
          if
          :: !refused ->
             mayHaveStarted = true;
             if
             :: answered = answered | BIT(i); answerAge[2 * s + i] = 0; i++; tries = 0
             :: tries++                                 /* the answer is lost */
             fi
          :: refused ->
#ifdef FAULT_REFUSAL_AFTER_UNKNOWN
             if :: tries > 0 && answered == 0 -> mayHaveStarted = false :: else fi;
#endif
             i = 0; goto abort
          fi
       :: mayHaveStarted = true; tries++                /* the message is lost */
       fi
     }
  od;

  /* ---- renew the leases while all members answer */
running:
  atomic { answered = 0; tries = 0; mayHaveStarted = true };
  do
  :: send_renewal(0)
  :: send_renewal(1)
  :: receive_renewal(0)
  :: receive_renewal(1)
  :: atomic {
       answerAge[2 * s] > MAX_ANSWER_AGE || answerAge[2 * s + 1] > MAX_ANSWER_AGE -> goto abort
     }
  od;

  /* ---- stop all members; if an end is not certain, wait until the leases have lapsed */
abort:
  atomic {
    leaseMayBeLive = leaseMayBeLive || renewals != 0;
    renewals = 0;
    answerAge[2 * s] = MAX_ANSWER_AGE + 1; answerAge[2 * s + 1] = MAX_ANSWER_AGE + 1;
    stop_lease(s, WorkerOf(a, 0), a);
    stop_lease(s, WorkerOf(a, 1), a);
    waitTicks[s] = 0
  };
#ifndef FAULT_NO_LAPSE_WAIT
  !leaseMayBeLive || waitTicks[s] > LAPSE_WAIT;
#endif

  /* ---- queue the job again, or record that its outcome is unknown */
  waitTicks[s] = OFF;
  if
  :: atomic { (s == 0 && writtenBy1) || (s == 1 && writtenBy0) -> goto conflict }
  :: atomic { (s == 0 && !writtenBy1) || (s == 1 && !writtenBy0) ->
       if :: s == 0 -> writtenBy0 = 1 :: else -> writtenBy1 = 1 fi;
       if
       :: REPEATABLE || !mayHaveStarted -> recordedAttempt = 0
       :: else -> jobOver = true; goto end
       fi }
  fi;
  if
  :: atomic { s == 0 && a == 1 && RETRY ->
       a = 2;
#ifdef REACH_SECOND_ATTEMPT
       assert(false);
#endif
       goto attempt }
  :: atomic { s == 1 && a < 3 -> leaseMayBeLive = false; goto stop_orphans }
  :: else -> goto end
  fi;

conflict:
  /* the other scheduler has written: scheduler 0 gives up, scheduler 1 reads again */
  if
  :: atomic { s == 1 -> leaseMayBeLive = false; answered = 0; goto read_record }
  :: s == 0
  fi;
end:
  atomic {
    a = 0; i = 0; tries = 0; answered = 0;
    refused = false; leaseMayBeLive = false; mayHaveStarted = false
  }
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

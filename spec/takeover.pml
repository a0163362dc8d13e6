/*
 * One task of a job of steps, its progress record, two workers and leaders that follow each other, the
 * former one acting on for a while. Orders stay without an answer and are carried out late; workers
 * are cut off until their leases run out.
 *
 * Properties: OneRun (never two runs at once), NoneAfter (no start after an acknowledged end).
 *
 * Implemented by: src/libwork/work_runs.cpp (record before order, stop of an unanswered start, wait for
 * leases), work_reports.cpp (a worker's own list decides), work_core.cpp (acknowledged after stored),
 * src/libcontrol/leadership.cpp (epoch), work_driver_records.cpp (conditions of writes).
 *
 * FAULT_NO_FENCE: a worker obeys any leader. FAULT_ORDER_FIRST: the order leaves before its record.
 * FAULT_UNANSWERED_IS_FREE: an unanswered start is not stopped. FAULT_NO_LAPSE_WAIT: a worker out of reach
 * is taken for empty. FAULT_ACK_FIRST: an end is acknowledged before it is stored. FAULT_NO_CONDITION:
 * a former leader's write goes through.
 */

#define WORKERS 2
#define LEADERS 2
#define MOST_RUNS 2

/* The store: the leader's key and the task's record. */
byte epoch = 0;
byte recordWorker = WORKERS; /* WORKERS: no live attempt */
byte recordRun = 0;
bool recordDone = false;

/* Workers. A generation ends when the leases attempt out; orders of an earlier one come too late. */
byte fence[WORKERS];
byte running[WORKERS];
byte endedDone[WORKERS]; /* attempt of an end that is not acknowledged, 0: none */
byte highest[WORKERS];
byte generation[WORKERS];
bool reachable[WORKERS];

bool acknowledged = false;
byte lapses = 0;

chan orders = [2] of { byte, byte, byte, byte }; /* worker, epoch, attempt, generation */

proctype Worker(byte w)
{
  byte by, attempt, during;
  do
  :: atomic {
      orders ?? eval(w), by, attempt, during ->
      if
#ifdef FAULT_NO_FENCE
      :: (attempt > highest[w] && during == generation[w]) ->
#else
      :: (by >= fence[w] && attempt > highest[w] && during == generation[w]) ->
        fence[w] = by;
#endif
        assert(running[1 - w] == 0); /* OneRun */
        assert(!acknowledged);       /* NoneAfter */
        running[w] = attempt;
        highest[w] = attempt
      :: else
      fi
    }
  :: atomic { running[w] != 0 -> endedDone[w] = running[w]; running[w] = 0 }
  :: atomic { reachable[w] && lapses < 1 -> reachable[w] = false }
  /* Out of reach nobody renews. An end that was not acknowledged by then does not count. */
  :: atomic {
      !reachable[w] ->
      lapses++;
      generation[w]++;
      running[w] = 0;
      endedDone[w] = 0;
      reachable[w] = true
    }
  :: atomic { !reachable[w] -> reachable[w] = true }
  :: timeout -> break
  od
}

proctype Leader()
{
  byte mine = 0;
  byte worker = WORKERS; /* where the task's attempt is believed to be */
  byte attempt = 0;
  byte during = 0;
  bool done = false;
  bool unanswered = false;
  bool restored = false;

  /* Only one host may win the key; from then on no earlier leader's condition holds. */
  atomic {
    epoch++;
    mine = epoch;
    worker = recordWorker;
    attempt = recordRun;
    done = recordDone;
    restored = (worker != WORKERS);
    if
    :: restored -> during = generation[worker]
    :: else
    fi
  }

  do
  :: (worker == WORKERS && !done && attempt < MOST_RUNS) ->
    if
    :: worker = 0
    :: worker = 1
    fi;
    attempt++;
    if
    :: atomic { reachable[worker] -> during = generation[worker]; fence[worker] =
         (mine > fence[worker] -> mine : fence[worker]) }
    :: else -> worker = WORKERS; attempt--; goto next
    fi;
    if
    :: fence[worker] > mine -> goto stop
    :: else
    fi;
#ifdef FAULT_ORDER_FIRST
    orders ! worker, mine, attempt, during;
#endif
    atomic {
      if
#ifdef FAULT_NO_CONDITION
      :: true ->
#else
      :: epoch == mine ->
#endif
        recordWorker = worker;
        recordRun = attempt
      :: epoch != mine -> goto stop
      fi
    }
#ifndef FAULT_ORDER_FIRST
    orders ! worker, mine, attempt, during;
#endif
    unanswered = true;
    restored = false
  :: (worker != WORKERS && !done) ->
    /* A poll, or a wait for the leases when there is no answer. */
    if
    :: atomic {
        reachable[worker] ->
        if
        :: fence[worker] > mine -> goto stop
        :: else -> fence[worker] = mine
        fi;
        if
        :: running[worker] == attempt -> unanswered = false
        :: endedDone[worker] == attempt ->
#ifdef FAULT_ACK_FIRST
          acknowledged = true;
          endedDone[worker] = 0;
#endif
          done = true
        :: else ->
          /* An earlier leader's order is refused by the fence from now on. An own one that may still
             come is stopped: the worker then refuses that run for good. */
#ifndef FAULT_UNANSWERED_IS_FREE
          if
          :: !restored ->
            highest[worker] = (attempt > highest[worker] -> attempt : highest[worker])
          :: else
          fi;
#endif
          worker = WORKERS;
          unanswered = false
        fi
      }
    :: atomic {
#ifdef FAULT_NO_LAPSE_WAIT
        !reachable[worker] ->
#else
        (during != generation[worker]) ->
#endif
        worker = WORKERS;
        unanswered = false
      }
    fi
  :: (done) ->
    atomic {
      if
      :: epoch == mine -> recordDone = true
      :: else -> goto stop
      fi
    };
    atomic {
      if
      :: (worker != WORKERS && reachable[worker] && fence[worker] <= mine) ->
        acknowledged = true;
        endedDone[worker] = 0
      :: else
      fi
    };
    goto stop
  :: (attempt >= MOST_RUNS && worker == WORKERS) -> goto stop
  :: epoch != mine -> goto stop
  next:
    skip
  od;
stop:
  skip
}

init
{
  atomic {
    byte i = 0;
    do
    :: i < WORKERS -> reachable[i] = true; generation[i] = 1; run Worker(i); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < LEADERS -> run Leader(); i++
    :: else -> break
    od
  }
}

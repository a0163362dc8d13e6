/*
 * Model: one task of a job of steps, its record in the store, two workers, and leaders that follow
 * each other.
 *
 * A former leader acts on for a while. A start order may stay without an answer and be carried out
 * late. A worker may be cut off until the leases of its tasks have run out.
 *
 * Properties
 *   OneRun     two attempts of the task never run at the same time.
 *   NoneAfter  no attempt starts after the end of the task was acknowledged.
 *
 * Seeded faults
 *   FAULT_NO_FENCE            a worker carries out an order of a leader with a lower epoch than one
 *                             that it has seen.
 *   FAULT_ORDER_FIRST         the start order is sent before the attempt is recorded.
 *   FAULT_UNANSWERED_IS_FREE  a start that had no answer, and that the worker does not list, is not
 *                             stopped before the next attempt.
 *   FAULT_NO_LAPSE_WAIT       an unreachable worker is taken to run nothing, before its leases have
 *                             run out.
 *   FAULT_ACK_FIRST           an end is acknowledged to the worker before it is stored.
 *   FAULT_NO_CONDITION        a former leader's write to the record succeeds.
 *
 * Implemented by: src/libwork/work_runs.cpp (record before order, stop of an unanswered start, wait
 * for leases), src/libwork/work_reports.cpp (a worker's own list decides),
 * src/libwork/work_core.cpp (acknowledgement once the end is stored), src/libcontrol/leadership.cpp
 * (epoch), src/libcontrol/work_driver_records.cpp (conditions of writes).
 */

#define WORKERS 2
#define LEADERS 2
#define MAX_ATTEMPTS 2

/* Store: the epoch in the leader's key, and the record of the task. */
byte epoch = 0;
byte recordWorker = WORKERS; /* worker of the live attempt; WORKERS: none */
byte recordAttempt = 0; /* the last attempt */
bool recordDone = false; /* the task has ended */

/* Workers. Each time the leases of a worker run out, a new generation begins. A worker does not
   carry out an order that was sent in an earlier generation. */
byte fencingEpoch[WORKERS]; /* highest epoch seen */
byte runningAttempt[WORKERS]; /* running attempt, 0: none */
byte unacknowledgedEnd[WORKERS]; /* ended attempt whose end is not acknowledged, 0: none */
byte highestAttempt[WORKERS]; /* highest one started or stopped; only higher ones may start */
byte leaseGeneration[WORKERS];
bool reachable[WORKERS];

bool endAcknowledged = false; /* the end of the task was acknowledged to a worker */
byte lapses = 0; /* times that leases have run out */

chan orders = [2] of { byte, byte, byte, byte }; /* worker, epoch, attempt, generation */

proctype Worker(byte w)
{
  byte orderEpoch, attempt, orderGeneration;
  do
  :: /* a start order arrives */
    atomic {
      orders ?? eval(w), orderEpoch, attempt, orderGeneration ->
      if
#ifdef FAULT_NO_FENCE
      :: (attempt > highestAttempt[w] && orderGeneration == leaseGeneration[w]) ->
#else
      :: (orderEpoch >= fencingEpoch[w] && attempt > highestAttempt[w] &&
          orderGeneration == leaseGeneration[w]) ->
        fencingEpoch[w] = orderEpoch;
#endif
        assert(runningAttempt[1 - w] == 0); /* OneRun */
        assert(!endAcknowledged);           /* NoneAfter */
        runningAttempt[w] = attempt;
        highestAttempt[w] = attempt
      :: else
      fi
    }
  :: /* the attempt ends */
    atomic {
      runningAttempt[w] != 0 ->
      unacknowledgedEnd[w] = runningAttempt[w];
      runningAttempt[w] = 0
    }
  :: /* the worker is cut off */
    atomic { reachable[w] && lapses < 1 -> reachable[w] = false }
  /* The leases of a worker that is cut off run out, since they are not renewed. An end that has
     not been acknowledged by then is dropped. */
  :: atomic {
      !reachable[w] ->
      lapses++;
      leaseGeneration[w]++;
      runningAttempt[w] = 0;
      unacknowledgedEnd[w] = 0;
      reachable[w] = true
    }
  :: /* the worker is reachable again before its leases run out */
    atomic { !reachable[w] -> reachable[w] = true }
  :: timeout -> break
  od
}

proctype Leader()
{
  byte ownEpoch = 0;
  byte worker = WORKERS; /* worker of the live attempt as this leader has it; WORKERS: none */
  byte attempt = 0;
  byte orderGeneration = 0; /* generation of the worker when the attempt was ordered or read */
  bool done = false; /* the task has ended */
  bool unanswered = false; /* the start order has no answer */
  bool readFromRecord = false; /* the attempt was read from the record at the takeover */

  /* The host wins the leader's key. From then on the conditions of an earlier leader's writes fail,
     since the epoch has changed. */
  atomic {
    epoch++;
    ownEpoch = epoch;
    worker = recordWorker;
    attempt = recordAttempt;
    done = recordDone;
    readFromRecord = (worker != WORKERS);
    if
    :: readFromRecord -> orderGeneration = leaseGeneration[worker]
    :: else
    fi
  }

  do
  :: (worker == WORKERS && !done && attempt < MAX_ATTEMPTS) ->
    /* A new attempt: poll a worker, record the attempt, send the start order. */
    if
    :: worker = 0
    :: worker = 1
    fi;
    attempt++;
    if
    :: atomic {
        reachable[worker] ->
        orderGeneration = leaseGeneration[worker];
        fencingEpoch[worker] =
          (ownEpoch > fencingEpoch[worker] -> ownEpoch : fencingEpoch[worker])
      }
    :: else -> worker = WORKERS; attempt--; goto next
    fi;
    if
    :: fencingEpoch[worker] > ownEpoch -> goto stop
    :: else
    fi;
#ifdef FAULT_ORDER_FIRST
    orders ! worker, ownEpoch, attempt, orderGeneration;
#endif
    atomic {
      if
#ifdef FAULT_NO_CONDITION
      :: true ->
#else
      :: epoch == ownEpoch ->
#endif
        recordWorker = worker;
        recordAttempt = attempt
      :: epoch != ownEpoch -> goto stop
      fi
    }
#ifndef FAULT_ORDER_FIRST
    orders ! worker, ownEpoch, attempt, orderGeneration;
#endif
    unanswered = true;
    readFromRecord = false
  :: (worker != WORKERS && !done) ->
    /* A poll of the worker, or a wait until its leases have run out when it is unreachable. */
    if
    :: atomic {
        reachable[worker] ->
        if
        :: fencingEpoch[worker] > ownEpoch -> goto stop
        :: else -> fencingEpoch[worker] = ownEpoch
        fi;
        if
        :: runningAttempt[worker] == attempt -> unanswered = false
        :: unacknowledgedEnd[worker] == attempt ->
#ifdef FAULT_ACK_FIRST
          endAcknowledged = true;
          unacknowledgedEnd[worker] = 0;
#endif
          done = true
        :: else ->
          /* The worker does not list the attempt. From now on the fencing epoch refuses an order of
             an earlier leader. An own order that may still arrive is stopped: the worker then
             refuses that attempt for good. */
#ifndef FAULT_UNANSWERED_IS_FREE
          if
          :: !readFromRecord ->
            highestAttempt[worker] =
              (attempt > highestAttempt[worker] -> attempt : highestAttempt[worker])
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
        (orderGeneration != leaseGeneration[worker]) ->
#endif
        worker = WORKERS;
        unanswered = false
      }
    fi
  :: (done) ->
    /* Store the end, then acknowledge it to the worker. */
    atomic {
      if
      :: epoch == ownEpoch -> recordDone = true
      :: else -> goto stop
      fi
    };
    atomic {
      if
      :: (worker != WORKERS && reachable[worker] && fencingEpoch[worker] <= ownEpoch) ->
        endAcknowledged = true;
        unacknowledgedEnd[worker] = 0
      :: else
      fi
    };
    goto stop
  :: /* no attempt is left */ (attempt >= MAX_ATTEMPTS && worker == WORKERS) -> goto stop
  :: /* another host leads */ epoch != ownEpoch -> goto stop
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
    :: i < WORKERS -> reachable[i] = true; leaseGeneration[i] = 1; run Worker(i); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < LEADERS -> run Leader(); i++
    :: else -> break
    od
  }
}

/*
 * Model: the limit on what an organisation has running, across two leaders.
 *
 * The organisation has two jobs of one task each, on a worker each, and a limit of one run. A leader
 * counts a run from the decision to start it until its end is certain. It stores the record of the
 * run before it sends the order. Orders may arrive late, and their answers may be lost. A caller may
 * cancel a job; the leader then stores the end of the job and has its run stopped, which takes a
 * while. A second leader may take over at any moment; it has only the records and the workers'
 * reports, while the former leader goes on until it notices. A worker may be cut off until its
 * leases have expired.
 *
 * Properties
 *   Limit  the workers never hold more runs than the limit, those being stopped included.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_STOPPING_COUNTED  the second leader counts a run that is being stopped by its record.
 *   REACH_LATE_START        an order of the former leader takes effect after the takeover.
 *   REACH_BOTH              both tasks have run, one after the other, under two leaders.
 *
 * Seeded faults
 *   FAULT_FINAL_WITHOUT_STOPPING  the record of a cancelled job does not name its stopping run.
 *   FAULT_RELEASE_AT_STOP         a run is no longer counted once its stop is ordered.
 *   FAULT_COUNT_AT_ANSWER         a run is counted only when its start is answered.
 *
 * Implemented by: src/libwork/organisation_ledger.cpp, src/libwork/work_limits.cpp (AddRun),
 * src/libwork/work_runs.cpp (RemoveRun), src/libwork/work_jobs.cpp (RecordStoppingRuns,
 * RestoreStoppingRuns), src/libwork/work_reports.cpp (IsCertainlyGone).
 */

#define TASKS 2
#define LEADERS 2
#define LIMIT 1

#define At(leader, task) ((leader) * TASKS + (task))

mtype = { NONE, RECORDED, STOPPING, FINAL, WAITING, RECORDING, STORED, STARTING, RUNNING, RESTORED, OVER, ENDED };

/* Store. The epoch of a leader is its number plus one. */
mtype record[TASKS] = NONE; /* NONE, RECORDED, STOPPING (ended, with its run's row) or FINAL */
byte leading = 0;
bool cancelled[TASKS];

/* Workers; each runs one of the tasks. */
mtype held[TASKS] = NONE; /* NONE, RUNNING, STOPPING or ENDED */
bool barred[TASKS]; /* a stop has arrived, so that a later start is refused */
bool expired[TASKS]; /* cut off, and the leases have expired */
byte fence[TASKS]; /* highest epoch seen */
bool startSent[LEADERS * TASKS];
bool stopSent[LEADERS * TASKS];

/* Memory of the leaders: WAITING, RECORDING, STORED, STARTING, RUNNING, RESTORED, STOPPING or OVER */
mtype phase[LEADERS * TASKS] = WAITING;

#ifdef FAULT_COUNT_AT_ANSWER
#define Counts(l, t) (phase[At(l, t)] == RUNNING || phase[At(l, t)] == RESTORED || \
                      phase[At(l, t)] == STOPPING)
#else
#define Counts(l, t) (phase[At(l, t)] != WAITING && phase[At(l, t)] != OVER)
#endif
#define InUse(l) (Counts(l, 0) + Counts(l, 1))
#define Holds(t) (held[t] == RUNNING || held[t] == STOPPING)

inline StopRun(l, t)
{
  stopSent[At(l, t)] = true;
#ifdef FAULT_RELEASE_AT_STOP
  phase[At(l, t)] = OVER
#else
  phase[At(l, t)] = STOPPING
#endif
}

/* The caller's cancellation: stores the end of the job and stops its run. */
inline FinishJob(l, t)
{
  if
  :: phase[At(l, t)] == WAITING || phase[At(l, t)] == RECORDING ->
    phase[At(l, t)] = OVER;
    record[t] = FINAL
  :: else ->
    StopRun(l, t);
#ifdef FAULT_FINAL_WITHOUT_STOPPING
    record[t] = FINAL
#else
    record[t] = STOPPING
#endif
  fi
}

/* A report. The poll has raised the fence, so no order of an earlier leader takes effect after it. */
inline ApplyReport(l, t)
{
  fence[t] = l + 1;
  if
  :: held[t] == NONE && phase[At(l, t)] == RESTORED ->
    if
    :: record[t] == RECORDED -> phase[At(l, t)] = WAITING
    :: else -> phase[At(l, t)] = OVER
    fi
  :: held[t] == NONE && phase[At(l, t)] == STOPPING && barred[t] -> phase[At(l, t)] = OVER
  :: held[t] == ENDED && phase[At(l, t)] != WAITING && phase[At(l, t)] != RECORDING &&
     phase[At(l, t)] != STORED -> phase[At(l, t)] = OVER
  :: Holds(t) && phase[At(l, t)] == RESTORED ->
    if
    :: record[t] == RECORDED -> phase[At(l, t)] = RUNNING
    :: else -> StopRun(l, t)
    fi
  :: Holds(t) && phase[At(l, t)] == STARTING -> phase[At(l, t)] = RUNNING
  :: else -> skip
  fi
}

proctype Task(byte l; byte t)
{
  do
  :: atomic { phase[At(l, t)] == WAITING && !cancelled[t] && InUse(l) < LIMIT ->
      phase[At(l, t)] = RECORDING }
  :: atomic { phase[At(l, t)] == RECORDING && leading == l -> /* refused to a former leader */
      record[t] = RECORDED;
      phase[At(l, t)] = STORED }
  :: atomic { phase[At(l, t)] == STORED ->
      startSent[At(l, t)] = true;
      phase[At(l, t)] = STARTING }
  :: atomic { phase[At(l, t)] == STARTING && Holds(t) -> /* the answer, unless it is lost */
      phase[At(l, t)] = RUNNING }
  :: atomic { cancelled[t] && leading == l && phase[At(l, t)] != STOPPING &&
      phase[At(l, t)] != OVER && phase[At(l, t)] != STORED ->
      FinishJob(l, t) }
  :: atomic { !expired[t] && fence[t] <= l + 1 && phase[At(l, t)] != OVER -> ApplyReport(l, t) }
  :: atomic { expired[t] && phase[At(l, t)] != WAITING && phase[At(l, t)] != RECORDING &&
      phase[At(l, t)] != OVER -> phase[At(l, t)] = OVER }
  :: phase[At(l, t)] == OVER -> break
  od
}

proctype Worker(byte t)
{
  byte l;
  do
  :: atomic { (startSent[At(0, t)] || startSent[At(1, t)]) ->
      if
      :: startSent[At(0, t)] -> l = 0
      :: startSent[At(1, t)] -> l = 1
      fi;
      startSent[At(l, t)] = false;
      if
      :: !expired[t] && !barred[t] && fence[t] <= l + 1 && held[t] == NONE ->
        fence[t] = l + 1;
        held[t] = RUNNING;
#ifdef REACH_LATE_START
        assert(!(l == 0 && leading == 1));
#endif
#ifdef REACH_BOTH
        assert(!(l == 1 && held[1 - t] == ENDED));
#endif
        assert(Holds(0) + Holds(1) <= LIMIT) /* Limit */
      :: else -> skip
      fi }
  :: atomic { (stopSent[At(0, t)] || stopSent[At(1, t)]) && !expired[t] ->
      if
      :: stopSent[At(0, t)] -> l = 0
      :: stopSent[At(1, t)] -> l = 1
      fi;
      stopSent[At(l, t)] = false;
      if
      :: fence[t] <= l + 1 ->
        fence[t] = l + 1;
        barred[t] = true;
        if
        :: held[t] == RUNNING -> held[t] = STOPPING
        :: else -> skip
        fi
      :: else -> skip
      fi }
  :: atomic { Holds(t) -> held[t] = ENDED }
  :: atomic { !expired[t] ->
      expired[t] = true;
      if
      :: Holds(t) -> held[t] = ENDED
      :: else -> skip
      fi }
  :: timeout -> break
  od
}

active proctype Caller()
{
  if
  :: cancelled[0] = true
  :: skip
  fi
}

/* The second leader takes over: it reads the records, and begins without any other memory. */
active proctype Takeover()
{
  byte t;
  atomic {
    leading = 1;
    t = 0;
    do
    :: t < TASKS ->
      if
      :: record[t] == NONE -> phase[At(1, t)] = WAITING
      :: record[t] == FINAL -> phase[At(1, t)] = OVER
      :: else ->
        phase[At(1, t)] = RESTORED;
#ifdef REACH_STOPPING_COUNTED
        assert(!(record[t] == STOPPING && held[t] == STOPPING));
#endif
      fi;
      t++
    :: else -> break
    od;
    run Task(1, 0);
    run Task(1, 1)
  }
}

init
{
  atomic {
    run Worker(0);
    run Worker(1);
    run Task(0, 0);
    run Task(0, 1)
  }
}

/*
 * Model: the count of a gang's failed runs across leaders.
 *
 * Each member of a gang runs on a worker of its own, which lists the end of the run until that end
 * is acknowledged. In a run that fails, one member or both end as failed. A leader applies the ends
 * one by one, since a worker may be unreachable for a while, and counts each failed run once. It
 * stores the count together with the ends, and then acknowledges them. Leaders may change at any
 * moment; a new leader has only the record and the workers' lists.
 *
 * Properties
 *   NotEarly  the job is not stored as failed before MAX_ATTEMPTS of its runs have failed.
 *   NotOver   no run starts once MAX_ATTEMPTS runs have failed.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_SPLIT_RUN  a leader applies a failed end of a run that an earlier leader has counted.
 *   REACH_LAST_RUN   the leader that counts the last run has not counted an earlier one.
 *
 * Seeded faults
 *   FAULT_MARK_NOT_STORED  the record does not contain the run that was counted last.
 *   FAULT_GREATEST_COUNT   the count is restored as the greatest of the members' counts, not as
 *                          their sum.
 *   FAULT_ACK_FIRST        an end is acknowledged before it is stored.
 *
 * Implemented by: src/libwork/work_runs.cpp (HandleTaskFailure), src/libwork/work_record.cpp (the
 * record), src/libwork/work_jobs.cpp (RestoreJob), src/libwork/work_core.cpp (acknowledgement once
 * the end is stored).
 */

#define MEMBERS 2
#define MAX_ATTEMPTS 3
#define LAST_RUN 4 /* one run more than MAX_ATTEMPTS, for a run that does not fail */
#define MAX_LEADERS 2

/* Index of member m's end of run r in the lists of ends; runs are numbered from 1. */
#define End(m, r) ((m) * LAST_RUN + (r) - 1)
#define ENDS (MEMBERS * LAST_RUN)

mtype = { WAITING, LIVE, NONE, FAILED, STOPPED };

/* Record in the store. */
mtype storedPhase[MEMBERS] = WAITING;
byte storedFailures[MEMBERS]; /* failed runs that were counted with an end of this member */
byte storedCounted = 0; /* run that was counted last */
byte storedRun = 0; /* the last run */
bool storedFailed = false; /* the job has failed */

/* Workers: the run at work, and the ends that are not acknowledged. */
byte working = 0; /* 0: none */
mtype ended[ENDS] = NONE; /* by End(m, r) */

byte failedRuns = 0; /* runs in which at least one member has ended as failed */

/* Memory of the leader. */
mtype phase[MEMBERS] = WAITING;
byte failures[MEMBERS];
byte counted = 0;
byte lastRun = 0;
bool applied[ENDS]; /* by End(m, r): this leader has applied the end */
bool unstored = false; /* the memory differs from the record */
byte leaders = 1;
byte countedHere = 0; /* runs that this leader has counted */

inline Store()
{
  storedPhase[0] = phase[0];
  storedPhase[1] = phase[1];
  storedFailures[0] = failures[0];
  storedFailures[1] = failures[1];
  storedCounted = counted;
  storedRun = lastRun;
  unstored = false
}

active proctype Workers()
{
  do
  :: atomic {
      working != 0 ->
      if
      :: ended[End(0, working)] = FAILED; ended[End(1, working)] = FAILED; failedRuns++
      :: ended[End(0, working)] = FAILED; ended[End(1, working)] = STOPPED; failedRuns++
      :: ended[End(0, working)] = STOPPED; ended[End(1, working)] = FAILED; failedRuns++
      :: (working == failedRuns + 1) -> /* one run ends without a failure, and does not count */
        ended[End(0, working)] = STOPPED;
        ended[End(1, working)] = STOPPED
      fi;
      working = 0
    }
  :: timeout -> break
  od
}

/* Applies the end of member m in run r. */
inline Apply(m, r)
{
  applied[End(m, r)] = true;
  if
  :: (phase[m] == LIVE && r == lastRun) ->
    phase[m] = WAITING;
    unstored = true;
    if
    :: (ended[End(m, r)] == FAILED && counted != r) ->
      counted = r;
      failures[m]++;
      countedHere++;
#ifdef REACH_LAST_RUN
      assert(!(failures[0] + failures[1] == MAX_ATTEMPTS && countedHere == 1));
#endif
    :: (ended[End(m, r)] == FAILED && counted == r) ->
#ifdef REACH_SPLIT_RUN
      assert(countedHere > 0);
#else
      skip
#endif
    :: else -> skip
    fi
  :: else -> skip /* applied by an earlier leader, whose acknowledgement was lost */
  fi
}

active proctype Leader()
{
  byte m, r;
  do
  :: /* a run starts: it is stored, then ordered */
    atomic {
      (phase[0] == WAITING && phase[1] == WAITING && lastRun < LAST_RUN && !storedFailed &&
       failures[0] + failures[1] < MAX_ATTEMPTS) ->
      assert(failedRuns < MAX_ATTEMPTS); /* NotOver */
      lastRun++;
      phase[0] = LIVE;
      phase[1] = LIVE;
      Store();
      working = lastRun
    }
  :: /* an end is applied */
    atomic {
      if
      :: m = 0
      :: m = 1
      fi;
      r = 1;
      do
      :: r < LAST_RUN -> r++
      :: break
      od;
      if
      :: (ended[End(m, r)] != NONE && !applied[End(m, r)]) -> Apply(m, r)
      :: (ended[End(m, r)] == NONE && phase[m] == LIVE && r == lastRun && working == 0) ->
        phase[m] = WAITING; /* the worker does not list the run: it counts as lost, not as failed */
        unstored = true
      :: else -> skip
      fi;
      m = 0;
      r = 0
    }
  :: /* the record is stored */
    atomic {
      unstored ->
      Store();
      if
      :: failures[0] + failures[1] >= MAX_ATTEMPTS ->
        storedFailed = true;
        assert(failedRuns >= MAX_ATTEMPTS) /* NotEarly */
      :: else -> skip
      fi
    }
  :: /* an end is acknowledged */
    atomic {
#ifdef FAULT_ACK_FIRST
      true ->
#else
      !unstored ->
#endif
      do
      :: r < ENDS - 1 -> r++
      :: break
      od;
      if
      :: applied[r] -> ended[r] = NONE; applied[r] = false
      :: else -> skip
      fi;
      r = 0
    }
  :: /* another host takes over */
    atomic {
      leaders < MAX_LEADERS ->
      leaders++;
      countedHere = 0;
      unstored = false;
      do
      :: r < ENDS -> applied[r] = false; r++
      :: else -> break
      od;
      r = 0;
      phase[0] = storedPhase[0];
      phase[1] = storedPhase[1];
      failures[0] = storedFailures[0];
      failures[1] = storedFailures[1];
#ifdef FAULT_GREATEST_COUNT
      failures[0] = (failures[0] > failures[1] -> failures[0] : failures[1]);
      failures[1] = 0;
#endif
#ifdef FAULT_MARK_NOT_STORED
      counted = 0;
#else
      counted = storedCounted;
#endif
      lastRun = storedRun
    }
  :: timeout -> break
  od
}

/*
 * Model: the progress record of a wide job, in a main record and parts, and leaders that follow each
 * other.
 *
 * A part holds the runs and ends of some tasks, here of one. A transaction writes the main record
 * together with some of the parts that have changed, on condition that the main record is as this
 * leader has read or written it and that this host leads. A leader may be replaced between two
 * transactions of one change. A transaction may stay without an answer and be carried out late. A
 * worker may be lost with the end of a run that was not acknowledged. Once all tasks are done, the
 * main record says so and the parts are deleted.
 *
 * Properties
 *   OneRun     two runs of a task never exist at the same time.
 *   NoneAfter  no run starts after the end of its task was acknowledged.
 *   Rising     the run numbers of a task rise, also across leaders.
 *
 * Seeded faults
 *   FAULT_ORDER_WITH_MAIN   a start order is sent once the main record is stored, although the part
 *                           that names its run is not.
 *   FAULT_ACK_WITH_MAIN     an end is acknowledged once the main record is stored, although the part
 *                           that contains it is not.
 *   FAULT_PART_UNGUARDED    a part is written without the condition on the main record, and the
 *                           leader's key is checked before the write instead of with it.
 *   FAULT_DELETE_FIRST      the parts are deleted before the main record says that the job is done.
 *
 * Configurations
 *   CLEAN_THREE_LEADERS  one more leader, which finds what a late write has left; no worker is lost.
 *
 * Implemented by: src/libwork/record_parts.cpp (what a part holds), src/libwork/work_writes.cpp (what
 * is written), src/libwork/work_jobs.cpp (restore), src/libcontrol/work_driver_records.cpp
 * (transactions).
 */

#define TASKS 2
#if defined(CLEAN_THREE_LEADERS) || defined(FAULT_PART_UNGUARDED)
#define LEADERS 3
#define MAX_RUNS 2
#define MAX_LOSSES 0
#else
#define LEADERS 2
#define MAX_RUNS 3
#define MAX_LOSSES 1
#endif

/* Store */
byte epoch = 0; /* in the leader's key */
byte mainRevision = 0;
bool mainDone = false;
byte partRun[TASKS]; /* last run; 0: none */
bool partLive[TASKS];
bool partDone[TASKS];

/* Workers, one for each task */
byte fence[TASKS]; /* highest epoch seen */
byte running[TASKS]; /* run, 0: none */
byte ended[TASKS]; /* run with an end that is not acknowledged, 0: none */
byte highest[TASKS]; /* highest run that was started */
bool acknowledged[TASKS]; /* the end of the task was acknowledged */
byte losses = 0;

/* A transaction that is carried out late. */
bool lateHeld = false;
byte lateTask, lateEpoch, lateRevision, lateRun;
bool lateLive, lateDone;

inline apply_late()
{
  atomic {
    lateHeld ->
    lateHeld = false;
    if
#ifdef FAULT_PART_UNGUARDED
    :: true ->
#else
    :: (lateEpoch == epoch && lateRevision == mainRevision) ->
#endif
      mainRevision++;
      partRun[lateTask] = lateRun;
      partLive[lateTask] = lateLive;
      partDone[lateTask] = lateDone
    :: else
    fi
  }
}

/* The worker carries out a start order. */
inline start_attempt(t)
{
  if
  :: (ownEpoch >= fence[t] && attempt[t] > highest[t]) ->
    assert(running[t] == 0); /* OneRun */
    assert(!acknowledged[t]); /* NoneAfter */
    fence[t] = ownEpoch;
    highest[t] = attempt[t];
    running[t] = attempt[t]
  :: (ownEpoch >= fence[t] && attempt[t] <= highest[t]) -> assert(false) /* Rising */
  :: else
  fi
}

active proctype Workers()
{
  byte w;
  do
  :: atomic {
      if :: w = 0 :: w = 1 fi;
      if
      :: running[w] != 0 -> ended[w] = running[w]; running[w] = 0
      :: (running[w] != 0 || ended[w] != 0) && losses < MAX_LOSSES ->
        losses++;
        running[w] = 0;
        ended[w] = 0
      :: else
      fi
    }
  :: apply_late()
  :: timeout -> break
  od
}

proctype Leader()
{
  byte ownEpoch = 0;
  byte revision;
  byte attempt[TASKS];
  bool live[TASKS], done[TASKS], ordered[TASKS], dirty[TASKS];
  bool jobDone;
  byte t, u;

  atomic {
    epoch++;
    ownEpoch = epoch;
    revision = mainRevision;
    jobDone = mainDone;
    t = 0;
    do
    :: t < TASKS ->
      attempt[t] = partRun[t];
      live[t] = partLive[t];
      done[t] = partDone[t] || mainDone;
      ordered[t] = true;
      dirty[t] = false;
      t++
    :: else -> break
    od
  }

  /* Each step of a leader is one transition. */
  do
  :: atomic {
    if
    :: (epoch != ownEpoch || jobDone) -> break
    :: else
    fi;
    if :: t = 0 :: t = 1 fi;
    u = 1 - t;
    if
    /* Place the task. */
    :: (!live[t] && !done[t] && attempt[t] < MAX_RUNS) ->
        attempt[t]++;
        live[t] = true;
        ordered[t] = false;
        dirty[t] = true
    /* Poll the worker. */
    :: (live[t] && ordered[t] && !done[t] && fence[t] <= ownEpoch) ->
        fence[t] = ownEpoch;
        if
        :: running[t] == attempt[t]
        :: ended[t] == attempt[t] -> done[t] = true; live[t] = false; dirty[t] = true
        :: else -> live[t] = false; dirty[t] = true
        fi
    /* Store the part of one task with the main record. */
    :: dirty[t] ->
        if
        :: (epoch == ownEpoch && mainRevision == revision) ->
          mainRevision++;
          revision = mainRevision;
          partRun[t] = attempt[t];
          partLive[t] = live[t];
          partDone[t] = done[t];
          dirty[t] = false
        :: else -> break
        fi
    /* The same, carried out late; the host stops. */
    :: (dirty[t] && !lateHeld && ownEpoch == 1 && epoch == ownEpoch) ->
        lateHeld = true;
        lateTask = t;
        lateEpoch = ownEpoch;
        lateRevision = revision;
        lateRun = attempt[t];
        lateLive = live[t];
        lateDone = done[t];
        break
    /* Send a start order. */
#ifdef FAULT_ORDER_WITH_MAIN
    :: (live[t] && !ordered[t] && (!dirty[t] || !dirty[u])) ->
#else
    :: (live[t] && !ordered[t] && !dirty[t]) ->
#endif
        ordered[t] = true;
        start_attempt(t)
    /* Acknowledge an end. */
#ifdef FAULT_ACK_WITH_MAIN
    :: (done[t] && ended[t] == attempt[t] && attempt[t] != 0 && (!dirty[t] || !dirty[u])) ->
#else
    :: (done[t] && ended[t] == attempt[t] && attempt[t] != 0 && !dirty[t]) ->
#endif
        acknowledged[t] = true;
        ended[t] = 0
#ifdef FAULT_DELETE_FIRST
    /* The parts go first; the main record follows with the next transaction. */
    :: (done[0] && done[1] && !dirty[0] && !dirty[1] && epoch == ownEpoch &&
         mainRevision == revision && partDone[0]) ->
        mainRevision++;
        revision = mainRevision;
        partRun[0] = 0; partLive[0] = false; partDone[0] = false;
        partRun[1] = 0; partLive[1] = false; partDone[1] = false
#endif
    /* All tasks are done: the main record says so, and the parts go with it. */
    :: (done[0] && done[1]) ->
        if
        :: (epoch == ownEpoch && mainRevision == revision) ->
          mainRevision++;
          revision = mainRevision;
          mainDone = true;
          partRun[0] = 0; partLive[0] = false; partDone[0] = false;
          partRun[1] = 0; partLive[1] = false; partDone[1] = false;
          jobDone = true
        :: else -> break
        fi
    :: else -> break
    fi;
    t = 0;
    u = 0
  }
  od
}

init
{
  atomic {
    byte i = 0;
    do
    :: i < LEADERS -> run Leader(); i++
    :: else -> break
    od
  }
}

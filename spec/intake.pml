/*
 * Model: the acceptance of one job that a caller submits to two hosts, one after the other, and its
 * cancellation at a third one, which may come before the job is stored.
 *
 * Each host tries its conditional write to the store up to three times. A write may be refused for
 * certain, be carried out with or without an answer, or stay without an answer and be carried out
 * later, on condition that no such job is in the store then, and no mark that its id was cancelled.
 *
 * A cancellation that finds the job writes that it is cancelled. One that finds no job writes the
 * mark, on condition that there is no job, and is answered "no such job". The mark ends with a lease,
 * after the time within which a write may still be carried out and the leader learns of it.
 *
 * Properties
 *   NotRun  when all hosts answered "not run", the job is never stored.
 *   Stored  a job that was accepted is stored.
 *   Once    the job is stored at most once.
 *   Cancelled  the leader does not start the job once its cancellation was answered.
 *
 * Configurations
 *   CLEAN_FORMER_HOSTS  the hosts that accept jobs are of the former version and do not know the
 *                       mark; the leader, which does, takes a job beside a mark for cancelled.
 *
 * Seeded faults
 *   FAULT_UNCLEAR_IS_REFUSED  a host that gives up answers "not run", also if the outcome of one of
 *                             its attempts is unknown.
 *   FAULT_LAST_TRY_DECIDES    the outcome of the last attempt replaces the unknown outcome of an
 *                             earlier one.
 *   FAULT_ABSENT_IS_PROOF     a read that finds no job is taken to prove that an attempt with an
 *                             unknown outcome was not carried out.
 *   FAULT_NO_MARK             a cancellation that finds no job is answered without a mark.
 *   FAULT_LEADER_IGNORES_MARK the leader takes a mark that is older than the job for one of an
 *                             earlier job, while hosts of the former version accept jobs.
 *   FAULT_MARK_ENDS_EARLY     the mark ends while a write may still be carried out.
 *
 * Implemented by: src/libcontrol/job_intake.cpp, src/libcontrol/work_driver_accepted.cpp (leader).
 */

#if defined(CLEAN_FORMER_HOSTS) || defined(FAULT_LEADER_IGNORES_MARK)
#define MAY_STORE (stored == 0)
#else
#define MAY_STORE (stored == 0 && !marked)
#endif

#define HOSTS 2
#define MAX_ATTEMPTS 3

byte stored = 0; /* jobs in the store */
byte lateWrites = 0; /* unanswered writes that may still be carried out */
byte notRunAnswers = 0; /* hosts that answered "not run" */
bool accepted = false;
bool marked = false; /* the id is marked as cancelled */
bool cancelled = false; /* the cancellation of the stored job is stored */
bool cancelAnswered = false;
bool allHostsTried = false; /* the caller has tried all hosts, or was accepted */

/* One conditional write; sets outcome to 1 (refused), 2 (stored), 3 (unknown) or 4 (the id is
   marked as cancelled). */
inline conditional_write(outcome)
{
  if
  :: /* certainly not carried out */
    outcome = 1
  :: /* carried out and answered */
    atomic { true -> if :: MAY_STORE -> stored++ :: else fi; outcome = (stored > 0 -> 2 : 4) }
  :: /* carried out, the answer is lost */
    atomic { true -> if :: MAY_STORE -> stored++ :: else fi; outcome = 3 }
  :: /* no answer, may be carried out later */
    atomic { lateWrites < 2 -> lateWrites++; outcome = 3 }
  fi
}

proctype Caller()
{
  byte host = 0, attempts, outcome;
  bool hasUnknownOutcome, storeUnreachable;
  do
  :: host < HOSTS && !accepted ->
    attempts = 0;
    hasUnknownOutcome = false;
    storeUnreachable = false;
    do
    :: attempts < MAX_ATTEMPTS && !storeUnreachable ->
      conditional_write(outcome);
      attempts++;
      if
      :: outcome == 2 ->
        accepted = true;
        assert(stored == 1); /* Stored */
        break
      :: outcome == 3 -> hasUnknownOutcome = true
      :: outcome == 4 -> hasUnknownOutcome = false; break
      :: outcome == 1 ->
#ifdef FAULT_LAST_TRY_DECIDES
        hasUnknownOutcome = false
#else
        skip
#endif
      fi;
#ifdef FAULT_ABSENT_IS_PROOF
      if
      :: stored == 0 -> hasUnknownOutcome = false
      :: else
      fi;
#endif
      /* The host may find that the store is unreachable, and then gives up. */
      if
      :: storeUnreachable = false
      :: storeUnreachable = true
      fi
    :: else -> break
    od;
    if
    :: accepted -> skip
#ifdef FAULT_UNCLEAR_IS_REFUSED
    :: !accepted -> notRunAnswers++
#else
    :: !accepted && !hasUnknownOutcome -> notRunAnswers++
    :: !accepted && hasUnknownOutcome -> skip
#endif
    fi;
    host++
  :: else -> break
  od;
  allHostsTried = true
}

active proctype Store()
{
  do
  :: /* a late write is carried out */
    atomic {
      lateWrites > 0 ->
      lateWrites--;
      if :: MAY_STORE -> stored++ :: else fi;
      assert(stored <= 1) /* Once */
    }
  :: /* no write can follow any more */
    atomic {
      allHostsTried && lateWrites == 0 ->
      assert(notRunAnswers < HOSTS || stored == 0); /* NotRun */
      break
    }
  od
}

/* May cancel the job at any time. */
active proctype Canceller()
{
  do
  :: atomic {
      stored != 0 ->
      cancelled = true;
      cancelAnswered = true;
      break
    }
  :: atomic {
      stored == 0 ->
#ifndef FAULT_NO_MARK
      marked = true;
#endif
      cancelAnswered = true;
      break
    }
  od
}

/* The lease of the mark ends. */
active proctype Lease()
{
  atomic {
#ifdef FAULT_MARK_ENDS_EARLY
    marked ->
#else
    (marked && allHostsTried && lateWrites == 0 && (stored == 0 || cancelled)) ->
#endif
    marked = false
  }
}

active proctype Leader()
{
  do
  :: atomic {
#ifdef FAULT_LEADER_IGNORES_MARK
      (stored != 0 && !cancelled) ->
#else
      (stored != 0 && !cancelled && !marked) ->
#endif
      assert(!cancelAnswered); /* Cancelled */
      break
    }
  :: atomic { (stored != 0 && marked) -> cancelled = true; break }
  od
}

init { run Caller() }

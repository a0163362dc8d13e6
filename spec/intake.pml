/*
 * Model: the acceptance of one job that a caller submits to two hosts, one after the other.
 *
 * Each host tries its conditional write to the store up to three times. A write may be refused for
 * certain, be carried out with or without an answer, or stay without an answer and be carried out
 * later, on condition that no such job is in the store then.
 *
 * Properties
 *   NotRun  when all hosts answered "not run", the job is never stored.
 *   Stored  a job that was accepted is stored.
 *   Once    the job is stored at most once.
 *
 * Seeded faults
 *   FAULT_UNCLEAR_IS_REFUSED  a host that gives up answers "not run", also if the outcome of one of
 *                             its attempts is unknown.
 *   FAULT_LAST_TRY_DECIDES    the outcome of the last attempt replaces the unknown outcome of an
 *                             earlier one.
 *   FAULT_ABSENT_IS_PROOF     a read that finds no job is taken to prove that an attempt with an
 *                             unknown outcome was not carried out.
 *
 * Implemented by: src/libcontrol/job_intake.cpp.
 */

#define HOSTS 2
#define MAX_ATTEMPTS 3

byte stored = 0; /* jobs in the store */
byte lateWrites = 0; /* unanswered writes that may still be carried out */
byte notRunAnswers = 0; /* hosts that answered "not run" */
bool accepted = false;
bool allHostsTried = false; /* the caller has tried all hosts, or was accepted */

/* One conditional write; sets outcome to 1 (refused), 2 (stored) or 3 (unknown). */
inline conditional_write(outcome)
{
  if
  :: /* certainly not carried out */
    outcome = 1
  :: /* carried out and answered */
    atomic { true -> if :: stored == 0 -> stored++ :: else fi; outcome = 2 }
  :: /* carried out, the answer is lost */
    atomic { true -> if :: stored == 0 -> stored++ :: else fi; outcome = 3 }
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
      if :: stored == 0 -> stored++ :: else fi;
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

init { run Caller() }

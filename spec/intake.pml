/*
 * A caller hands one job in at two hosts, one after the other. Each host tries its conditional write up
 * to three times. A write may be refused for certain, be carried out with or without its answer, or stay
 * without an answer and be carried out later, as long as no such job is there.
 *
 * Properties: NotRun (when every answer was "not run", the job never comes to be stored), Stored (an
 * accepted job is stored), Once (it is stored once).
 *
 * Implemented by: src/libcontrol/job_intake.cpp (Settle).
 *
 * FAULT_UNCLEAR_IS_REFUSED: a host that gives up says "not run" whatever came before.
 * FAULT_LAST_TRY_DECIDES: only the last attempt counts.
 * FAULT_ABSENT_IS_PROOF: a read that finds no job settles an attempt of unknown fate.
 */

#define HOSTS 2
#define TRIES 3

byte stored = 0;
byte late = 0; /* writes that may still be carried out */
byte refusals = 0;
bool accepted = false;
bool asked_all = false;

inline write(outcome)
{
  if
  :: outcome = 1 /* certainly not done */
  :: atomic { true -> if :: stored == 0 -> stored++ :: else fi; outcome = 2 } /* there, and told so */
  :: atomic { true -> if :: stored == 0 -> stored++ :: else fi; outcome = 3 } /* there, answer lost */
  :: atomic { late < 2 -> late++; outcome = 3 } /* no answer, perhaps later */
  fi
}

proctype Caller()
{
  byte host = 0, attempt, outcome;
  bool unclear, away;
  do
  :: host < HOSTS && !accepted ->
    attempt = 0;
    unclear = false;
    away = false;
    do
    :: attempt < TRIES && !away ->
      write(outcome);
      attempt++;
      if
      :: outcome == 2 -> accepted = true; assert(stored == 1); break
      :: outcome == 3 -> unclear = true
      :: outcome == 1 ->
#ifdef FAULT_LAST_TRY_DECIDES
        unclear = false
#else
        skip
#endif
      fi;
#ifdef FAULT_ABSENT_IS_PROOF
      if
      :: stored == 0 -> unclear = false
      :: else
      fi;
#endif
      /* The store may become known to be away. */
      if
      :: away = false
      :: away = true
      fi
    :: else -> break
    od;
    if
    :: accepted -> skip
#ifdef FAULT_UNCLEAR_IS_REFUSED
    :: !accepted -> refusals++
#else
    :: !accepted && !unclear -> refusals++
    :: !accepted && unclear -> skip
#endif
    fi;
    host++
  :: else -> break
  od;
  asked_all = true
}

active proctype Store()
{
  do
  :: atomic { late > 0 -> late--; if :: stored == 0 -> stored++ :: else fi; assert(stored <= 1) }
  :: atomic { asked_all && late == 0 -> assert(refusals < HOSTS || stored == 0); break }
  od
}

init { run Caller() }

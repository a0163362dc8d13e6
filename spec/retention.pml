/*
 * Model: the removal of a finished job from the store and from the leader's memory.
 *
 * A caller submits a job and, once its records are gone, another job under the same id. A leader
 * learns of accepted jobs from a listing, which may be applied long after it was read, and from
 * notifications, which may be late. It deletes the records of a finished job in one transaction
 * whose answer may be late or lost, or which may not be carried out. One new leader takes over at
 * any moment; it reads the store and knows nothing else.
 *
 * A job is identified by the revision at which it was accepted, since an id may be used again.
 *
 * Properties
 *   OnceOver  a job that has ended does not start again.
 *   Unended   the records of a job that has not ended are not deleted.
 *   Cancelled a cancellation is stored and applied only for the job that it was written for.
 *   Known     once a listing is applied, the leader knows each job that was accepted before the
 *             listing and is still stored. It would neither run nor delete any other.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_FORGOTTEN     both jobs have run and are forgotten, by one leader.
 *   REACH_STALE_LISTED  a listing that was read before a deletion is applied after it.
 *   REACH_REPLACED      the second job is added while the leader still remembers the first.
 *
 * Seeded faults
 *   FAULT_FORGET_FIRST      a finished job is forgotten before its deletion is confirmed.
 *   FAULT_STALE_IS_NEW      an accepted record counts as a new job whenever its id is unknown.
 *   FAULT_ANY_REVISION      the deletion has no condition on the progress record.
 *   FAULT_ID_IS_IDENTITY    a record with a known id counts as the known job.
 *   FAULT_UNFOLLOWED        a job is removed before a listing has reached its acceptance.
 *   FAULT_CANCEL_ANY        a cancellation is written although the job was removed since it was read.
 *   FAULT_STALE_CANCEL      a listed cancellation is applied to whatever job has the id.
 *   FAULT_FORGET_ANY        an answer to a deletion removes whatever job has the id by then.
 *
 * Implemented by: src/libwork/work_core.cpp (IsNewJob, AddJob, ExpiredJobs, ForgetJob),
 * src/libcontrol/work_driver.cpp (listings, notifications, cancellations),
 * src/libcontrol/job_intake.cpp (condition of a cancellation),
 * src/libcontrol/work_driver_records.cpp (deletion).
 */

#define MAX_REVISION 16
#define MAX_JOBS 2

/* Store. A revision of 0: no such record. The progress record is the final one. */
byte revision = 1;
byte accepted = 0; /* revision of the accepted record */
byte progress = 0; /* revision of the progress record */
byte cancel = 0; /* revision of the cancellation */
byte cancelFor = 0; /* the job, by its accepted revision, that it was written for */

/* Truth, for the properties. */
byte jobs = 0; /* jobs that were accepted */
bool ended[MAX_REVISION]; /* by revision of acceptance */

/* Notification of an acceptance; 0: none on its way. */
byte notified = 0;

/* Leader's memory. */
byte known = 0; /* revision of acceptance; 0: no job with this id is known */
byte final = 0; /* revision of its final progress record; 0: not finished */
byte followed = 0; /* all acceptances up to this revision were applied */

/* Listing in flight. */
bool listing = false;
byte listedAccepted = 0;
byte listedCancel = 0;
byte listedCancelFor = 0;
byte listedRevision = 0;

/* Deletion in flight, and its answer. */
bool deleting = false;
byte deletingFinal = 0; /* progress revision in its condition */
bool deletionDone = false; /* the store has carried it out or has found the records gone */
byte forgottenByThisLeader = 0;
byte leaders = 1;

/* Adds the accepted record with the given revision, as the leader does. */
inline Add(record)
{
  if
  :: record == 0 -> skip
  :: else ->
    if
    :: known == 0 ->
      if
#ifdef FAULT_STALE_IS_NEW
      :: true ->
#else
      :: record > followed ->
#endif
        known = record;
        final = 0
      :: else -> skip
      fi
#ifndef FAULT_ID_IS_IDENTITY
    :: (known != 0 && record > known && final != 0) ->
#ifdef REACH_REPLACED
      assert(false);
#endif
      known = record;
      final = 0
#endif
    :: else -> skip
    fi
  fi
}

active proctype Caller()
{
  do
  :: atomic {
      (accepted == 0 && jobs < MAX_JOBS) ->
      assert(cancel == 0); /* Cancelled */
      revision++;
      accepted = revision;
      jobs++;
      if
      :: notified = accepted
      :: skip /* the notification is lost, or the one of the first job is still on its way */
      fi
    }
  :: jobs == MAX_JOBS -> break
  od
}

/* A caller's cancellation: one host reads the accepted record, then writes. */
active proctype Canceller()
{
  byte seen = 0;
  atomic { accepted != 0 -> seen = accepted };
  atomic {
    if
#ifdef FAULT_CANCEL_ANY
    :: cancel == 0 ->
#else
    :: (accepted == seen && cancel == 0) ->
#endif
      revision++;
      cancel = revision;
      cancelFor = seen
    :: else -> skip
    fi;
    assert(cancel == 0 || cancelFor == accepted) /* Cancelled */
  }
}

active proctype Leader()
{
  do
  :: /* a listing is read */
    atomic { !listing && (revision > followed || followed == 0) ->
      listing = true;
      listedAccepted = accepted;
      listedCancel = cancel;
      listedCancelFor = cancelFor;
      listedRevision = revision
    }
  :: /* the listing is applied */
    atomic {
      listing ->
#ifdef REACH_STALE_LISTED
      assert(!(listedAccepted != 0 && known == 0 && listedAccepted <= followed));
#endif
      Add(listedAccepted);
      if
#ifdef FAULT_STALE_CANCEL
      :: (listedCancel != 0 && known != 0) ->
#else
      :: (listedCancel != 0 && known != 0 && listedCancel > known) ->
#endif
        assert(listedCancelFor == known) /* Cancelled */
      :: else -> skip
      fi;
      followed = (listedRevision > followed -> listedRevision : followed);
      listing = false;
      assert(accepted == 0 || accepted > listedRevision || known == accepted) /* Known */
    }
  :: /* a notification arrives */
    atomic { notified != 0 -> Add(notified); notified = 0 }
  :: /* a notification is lost */
    atomic { notified != 0 -> notified = 0 }
  :: /* the job runs, ends, and its final progress record is stored */
    atomic {
      (known != 0 && final == 0) ->
      assert(!ended[known]); /* OnceOver */
      if
      :: (accepted == known && progress == 0) ->
        revision++;
        progress = revision;
        final = progress;
        ended[known] = true
      :: else -> skip
      fi
    }
  :: /* the deletion of a finished job is sent */
    atomic {
#ifdef FAULT_UNFOLLOWED
      (known != 0 && final != 0 && !deleting) ->
#else
      (known != 0 && final != 0 && !deleting && known <= followed) ->
#endif
      deleting = true;
      deletionDone = false;
      deletingFinal = final;
#ifdef FAULT_FORGET_FIRST
      known = 0;
      final = 0
#endif
    }
  :: /* the store carries out the deletion, or finds that the records are gone */
    atomic {
      (deleting && !deletionDone) ->
      if
#ifdef FAULT_ANY_REVISION
      :: accepted != 0 ->
#else
      :: progress == deletingFinal ->
#endif
        assert(accepted == 0 || ended[accepted]); /* Unended */
        revision++;
        accepted = 0;
        progress = 0;
        cancel = 0;
        cancelFor = 0
      :: else -> skip
      fi;
      if
      :: deletionDone = true
      :: deleting = false /* the answer is lost; the deletion is sent again later */
      fi
    }
  :: /* the deletion does not reach the store; it is sent again later */
    atomic { (deleting && !deletionDone) -> deleting = false }
  :: /* the answer arrives */
    atomic {
      (deleting && deletionDone) ->
      deleting = false;
      if
#ifdef FAULT_FORGET_ANY
      :: true ->
#else
      :: final == deletingFinal ->
#endif
        known = 0;
        final = 0;
        forgottenByThisLeader++
      :: else -> skip
      fi
#ifdef REACH_FORGOTTEN
      ;
      assert(forgottenByThisLeader < MAX_JOBS)
#endif
    }
  :: /* another host takes over: progress and accepted jobs are read, in this order; the former
        leader's deletion can no longer be carried out, because the leader key has changed */
    atomic {
      leaders < 2 ->
      leaders++;
      listing = false;
      deleting = false;
      deletionDone = false;
      forgottenByThisLeader = 0;
      known = accepted;
      final = (accepted != 0 -> progress : 0);
      followed = revision
    }
  :: timeout -> break
  od
}

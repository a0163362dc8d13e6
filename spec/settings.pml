/*
 * Model: changes of the settings. Two operators change one subtree, and three members
 * apply the changes.
 *
 * The value of the subtree contains the ids of the changes that led to it, its
 * history. In the model a change is a bit, and a history is a set of bits. A change is
 * in force at a member that holds a value with this change in its history.
 *
 * Properties
 *   Truthful  "conflict" and "not stored" are reported only for a write that has not
 *             taken effect and never will.
 *   Accepted  a change that is reported as accepted is in force at a majority.
 *   Kept      an accepted change stays in force at each member where it is in force,
 *             and stays in the store unless the store itself returns to an older copy.
 *   Rising    the revision in force at a member never decreases.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_BOTH_ACCEPTED  the changes of both operators are accepted.
 *   REACH_WRITTEN_BACK   a member writes back a value that the store lost in a restore.
 *
 * Seeded faults
 *   FAULT_ACCEPT_BY_REVISION  a change counts as accepted when a majority has reached
 *                             its revision, whether or not it holds the change.
 *   FAULT_APPLY_ANY           a member applies each value with another revision than
 *                             its own, also an older one.
 *   FAULT_APPLY_BY_REVISION   a member applies each value with a higher revision, also
 *                             one that lacks changes it holds.
 *   FAULT_NO_COMPARE          a write takes effect although the key was changed since
 *                             the operator read it.
 *   FAULT_READ_BACK_NEWEST    an operator that reads back recognises its change only if
 *                             it is the newest one.
 *   FAULT_UNKNOWN_IS_FAILED   a write with an unknown outcome is reported as not stored.
 *   FAULT_WRITE_BACK_ALONE    a member writes back what it holds although no majority
 *                             holds it.
 *
 * Implemented by
 *   compare-and-swap, retry, read back    src/libnet/store_swap_with_retry.cpp
 *   history of change ids in the value    src/libsettings/settings_record.cpp
 *   apply only newer values that continue src/libsettings/settings_book.cpp
 *     from the value held
 *   accepted once a majority holds it     src/libsettings/member.cpp, ctl
 *   write back what a majority holds and  not in the code yet, see
 *     the store has lost                    docs/design/models.md
 *
 * Failures in the model. An answer of the store may be lost after the write, an attempt
 * may reach the store late, and a member may apply late what it read before. The store
 * may return once to an older copy; its revisions are then given out again, or jump
 * ahead, since other keys are written too. Outages, partitions and pauses are steps not
 * taken.
 *
 * Left out: the values themselves; histories longer than two changes; a member that
 * restarts (modelled in freshness.pml); a store that returns to an older copy while the
 * outcome of a write is open, or before a restarted member has received what the others
 * hold.
 */

#define LAST_REVISION 5
#define MEMBERS 3
#define BIT(o) (1 << (o))

mtype = { OPEN, DONE, CONFLICT, NOT_STORED, UNKNOWN };

typedef value {
  byte revision;               /* of the store, when the value was written */
  byte history;                /* changes in effect, as bits */
  byte undone;                 /* changes that a write-back has undone, as bits */
  byte newest;                 /* the last change, as a bit; 0: a write-back */
};

byte storeRevision = 1;        /* of the store, over all keys */
value stored;                  /* in the store */
value storeCopy;               /* older copy of the store */
bool storeRestored;            /* the store has returned to the copy */

value held[MEMBERS];           /* in force at each member */
value fetched;                 /* read by member 0, not yet applied */

mtype outcome[2] = OPEN;       /* outcome of each operator's write */
byte readRevision[2];          /* revision read, with which the write compares */
byte readHistory[2];           /* history in the value read */
byte readUndone[2];            /* undone changes in the value read */
byte writtenRevision[2];       /* revision of the write that took effect */
byte attemptsInFlight;         /* operators with an attempt in flight, as bits */
byte effective;                /* operators whose write has taken effect, as bits */
byte unsettled;                /* operators whose write has no known outcome, as bits */
byte acceptedChanges;          /* changes reported as accepted, as bits */

#define CopyValue(to, from) \
  to.revision = from.revision; to.history = from.history; \
  to.undone = from.undone; to.newest = from.newest

#define Contains(all, some) (((all) & (some)) == (some))
#define HoldsChange(m, o) ((held[m].history & BIT(o)) != 0)
#define MajorityHolds(o) (HoldsChange(0, o) + HoldsChange(1, o) + HoldsChange(2, o) >= 2)
#define HoldsAll(m, h) Contains(held[m].history, h)
#define MajorityHoldsAll(h) (HoldsAll(0, h) + HoldsAll(1, h) + HoldsAll(2, h) >= 2)
#define ReachedRevision(m, r) (held[m].revision >= r)
#define MajorityReached(r) \
  (ReachedRevision(0, r) + ReachedRevision(1, r) + ReachedRevision(2, r) >= 2)

/* Whether the compare-and-swap of operator o succeeds. */
#ifdef FAULT_NO_COMPARE
#define CompareSucceeds(o) (storeRevision < LAST_REVISION)
#else
#define CompareSucceeds(o) (stored.revision == readRevision[o] && storeRevision < LAST_REVISION)
#endif

/* The write of operator o takes effect in the store. */
inline apply_write(o)
{
  assert(outcome[o] != CONFLICT && outcome[o] != NOT_STORED);  /* Truthful */
  storeRevision++;
  stored.revision = storeRevision;
  stored.history = readHistory[o] | BIT(o);
  stored.undone = readUndone[o];
  stored.newest = BIT(o);
  writtenRevision[o] = storeRevision;
  effective = effective | BIT(o);
  assert(storeRestored || Contains(stored.history, acceptedChanges))  /* Kept */
}

/* Whether the value in the store shows that the change of operator o has taken effect. */
#ifdef FAULT_READ_BACK_NEWEST
#define StoreHasChange(o) (stored.newest == BIT(o))
#else
#define StoreHasChange(o) (((stored.history | stored.undone) & BIT(o)) != 0)
#endif

proctype operator(byte o)
{
  bool mayHaveTakenEffect;
  byte attempts;

  atomic {
    unsettled = unsettled | BIT(o);
    readRevision[o] = stored.revision;
    readHistory[o] = stored.history;
    readUndone[o] = stored.undone
  };
  do
  :: /* written and answered */
     atomic { CompareSucceeds(o) -> apply_write(o); outcome[o] = DONE; break }
  :: /* written, the answer is lost */
     atomic { attempts < 2 && CompareSucceeds(o) ->
              apply_write(o); attempts++; mayHaveTakenEffect = true }
  :: /* no answer, the attempt is still in flight */
     atomic { attempts < 2 ->
              attempts++; attemptsInFlight = attemptsInFlight | BIT(o); mayHaveTakenEffect = true }
  :: /* refused: the other operator or an own earlier attempt has changed the key */
     atomic { stored.revision != readRevision[o] ->
              if :: StoreHasChange(o) -> outcome[o] = DONE :: else -> outcome[o] = CONFLICT fi;
              break }
  :: /* out of time */
     atomic {
       if
#ifndef FAULT_UNKNOWN_IS_FAILED
       :: mayHaveTakenEffect -> outcome[o] = UNKNOWN
       :: !mayHaveTakenEffect -> outcome[o] = NOT_STORED
#else
       :: outcome[o] = NOT_STORED
#endif
       fi;
       break }
  od;
  atomic {
    /* Truthful */
    assert((outcome[o] != CONFLICT && outcome[o] != NOT_STORED) || (effective & BIT(o)) == 0);
    if :: outcome[o] != UNKNOWN -> unsettled = unsettled & ~BIT(o) :: else fi;
    mayHaveTakenEffect = false;
    attempts = 0
  };
  atomic {
#ifdef FAULT_ACCEPT_BY_REVISION
    outcome[o] == DONE && MajorityReached(writtenRevision[o]) ->
#else
    outcome[o] == DONE && MajorityHolds(o) ->
#endif
    assert(MajorityHolds(o));                                /* Accepted */
    acceptedChanges = acceptedChanges | BIT(o);
#ifdef REACH_BOTH_ACCEPTED
    assert(acceptedChanges != 3);
#endif
  }
}

/* Attempts reach the store after the operator has stopped waiting for an answer. */
proctype network()
{
  do
  :: atomic {
       attemptsInFlight & BIT(0) ->
       attemptsInFlight = attemptsInFlight & ~BIT(0);
       if :: CompareSucceeds(0) -> apply_write(0) :: else fi
     }
  :: atomic {
       attemptsInFlight & BIT(1) ->
       attemptsInFlight = attemptsInFlight & ~BIT(1);
       if :: CompareSucceeds(1) -> apply_write(1) :: else fi
     }
  od
}

/* Whether a member that holds value h applies value v. */
#ifdef FAULT_APPLY_ANY
#define MayApply(h, v) (v.revision != h.revision)
#elif defined(FAULT_APPLY_BY_REVISION)
#define MayApply(h, v) (v.revision > h.revision)
#else
#define MayApply(h, v) \
  (v.revision > h.revision && Contains(v.history | v.undone, h.history))
#endif

/* Member m receives value v, and applies it if it may. */
inline receive_value(m, v)
{
  if
  :: MayApply(held[m], v) ->
     assert(v.revision > held[m].revision);                              /* Rising */
     assert(Contains(v.history, (held[m].history & acceptedChanges)));     /* Kept */
     CopyValue(held[m], v)
  :: else
  fi
}

proctype member(byte m)
{
  byte from;
  do
  :: /* reads the store; member 0 may be paused between the read and the use */
     atomic { m == 0 -> CopyValue(fetched, stored) }
  :: atomic { m == 0 -> receive_value(0, fetched) }
  :: atomic { m != 0 -> receive_value(m, stored) }
  :: /* receives the value that another member holds */
     atomic {
       select (from : 0 .. MEMBERS - 1);
       receive_value(m, held[from]);
       from = 0
     }
  :: /* the store lacks changes that a majority has in force: writes them back */
     atomic {
       !Contains(stored.history | stored.undone, held[m].history) &&
#ifndef FAULT_WRITE_BACK_ALONE
       MajorityHoldsAll(held[m].history) &&
#endif
       storeRevision < LAST_REVISION ->
#ifdef REACH_WRITTEN_BACK
       assert(false);
#endif
       storeRevision++;
       stored.undone = stored.undone | stored.history | held[m].undone;
       stored.undone = stored.undone & ~held[m].history;
       stored.history = held[m].history;
       stored.newest = 0;
       stored.revision = storeRevision
     }
  od
}

/* The store is copied once, and may return to the copy once. */
proctype store_restore()
{
  bool copied;
  do
  :: atomic { !copied -> copied = true; CopyValue(storeCopy, stored) }
  :: atomic {
       !storeRestored && unsettled == 0 && attemptsInFlight == 0 &&
       storeRevision > storeCopy.revision ->
       storeRestored = true;
       storeRevision = storeCopy.revision;
       CopyValue(stored, storeCopy)
     }
  :: /* another key is written */
     atomic { storeRestored && storeRevision < LAST_REVISION -> storeRevision++ }
  od
}

init {
  byte m;
  atomic {
    stored.revision = 1;
    CopyValue(storeCopy, stored);
    for (m : 0 .. MEMBERS - 1) { held[m].revision = 1 };
    fetched.revision = 1;
    run operator(0);
    run operator(1);
    run network();
    for (m : 0 .. MEMBERS - 1) { run member(m) };
    run store_restore()
  }
}

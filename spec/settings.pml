/*
 * Settings: two operators change one subtree, three members put it in force.
 *
 * The subtree's value carries the ids of the changes that led to it. A change
 * is a bit here, and a history a set of bits.
 *
 * Properties
 *   Truthful   "conflict" and "not stored" are reported only for a write that
 *              did not take effect and never will.
 *   Accepted   a change reported as accepted is in force at a majority.
 *   Kept       an accepted change stays in force wherever it is, and stays in
 *              the store unless the store itself goes back.
 *   Rising     the revision in force at a member never falls.
 *   REACH_...  both changes accepted; a change written back after a restore.
 *
 * Rules and where they are implemented
 *   compare-and-swap, repeat, read back   src/libnet/store_settled_swap.cpp
 *   history of change ids in the value    src/libsettings/settings_record.cpp
 *   apply only what is newer and goes     src/libsettings/settings_book.cpp
 *     on from what is held
 *   accepted once a majority holds it     src/libsettings/member.cpp, ctl
 *   write back what a majority holds and  not in the code yet, see
 *     the store has lost                    docs/design/models.md
 *
 * Failures. An answer of the store may be lost after the write, an attempt may
 * reach the store late, a member may apply late what it read before, and the
 * store may go back once to an older copy, whose revisions are given out again
 * (or jump ahead: other keys are written too). Outages, cuts and pauses are
 * steps not taken.
 *
 * Abstracted away: the values; histories longer than two changes; a member that
 * restarts (freshness.pml); a store that goes back while the fate of a write is
 * open, or before a restarted member has been told what others hold.
 */

#define LAST_REVISION 5
#define MEMBERS 3
#define BIT(o) (1 << (o))

mtype = { OPEN, DONE, CONFLICT, NOT_STORED, UNKNOWN };

typedef value {
  byte revision;               /* of the store, when this was written */
  byte history;                /* changes in effect */
  byte overruled;              /* changes that a write-back put out of effect */
  byte newest;                 /* the last change */
};

byte revision = 1;             /* of the store, over all keys */
value stored;
value copy;                    /* the older copy */
bool restored;

value held[MEMBERS];
value fetched;                 /* read by member 0, not yet applied */

mtype fate[2] = OPEN;
byte base[2];                  /* revision that the operator compares with */
byte baseHistory[2];
byte baseOverruled[2];
byte writtenAt[2];
byte late;                     /* attempts still on their way */
byte tookEffect;
byte busy;                     /* operators whose write is not settled */
byte accepted;

#define Assign(to, from) \
  to.revision = from.revision; to.history = from.history; \
  to.overruled = from.overruled; to.newest = from.newest

#define Contains(all, some) (((all) & (some)) == (some))
#define HoldsChange(m, o) ((held[m].history & BIT(o)) != 0)
#define MajorityHolds(o) (HoldsChange(0, o) + HoldsChange(1, o) + HoldsChange(2, o) >= 2)
#define HoldsAll(m, h) Contains(held[m].history, h)
#define MajorityHoldsAll(h) (HoldsAll(0, h) + HoldsAll(1, h) + HoldsAll(2, h) >= 2)
#define ReachedRevision(m, r) (held[m].revision >= r)
#define MajorityReached(r) (ReachedRevision(0, r) + ReachedRevision(1, r) + ReachedRevision(2, r) >= 2)

#ifdef FAULT_NO_COMPARE
#define MayWrite(o) (revision < LAST_REVISION)
#else
#define MayWrite(o) (stored.revision == base[o] && revision < LAST_REVISION)
#endif

/* The write of operator o takes effect in the store. */
inline write(o)
{
  assert(fate[o] != CONFLICT && fate[o] != NOT_STORED);     /* Truthful */
  revision++;
  stored.revision = revision;
  stored.history = baseHistory[o] | BIT(o);
  stored.overruled = baseOverruled[o];
  stored.newest = BIT(o);
  writtenAt[o] = revision;
  tookEffect = tookEffect | BIT(o);
  assert(restored || Contains(stored.history, accepted))    /* Kept */
}

#ifdef FAULT_READ_BACK_NEWEST
#define HoldsOurs(o) (stored.newest == BIT(o))
#else
#define HoldsOurs(o) (((stored.history | stored.overruled) & BIT(o)) != 0)
#endif

proctype operator(byte o)
{
  bool mayHaveTakenEffect;
  byte attempts;

  atomic {
    busy = busy | BIT(o);
    base[o] = stored.revision;
    baseHistory[o] = stored.history;
    baseOverruled[o] = stored.overruled
  };
  do
  :: /* written and answered */
     atomic { MayWrite(o) -> write(o); fate[o] = DONE; break }
  :: /* written, and the answer lost */
     atomic { attempts < 2 && MayWrite(o) ->
              write(o); attempts++; mayHaveTakenEffect = true }
  :: /* no answer; the attempt is still on its way */
     atomic { attempts < 2 -> attempts++; late = late | BIT(o); mayHaveTakenEffect = true }
  :: /* refused: somebody changed the key, or an attempt of ours did */
     atomic { stored.revision != base[o] ->
              if :: HoldsOurs(o) -> fate[o] = DONE :: else -> fate[o] = CONFLICT fi;
              break }
  :: /* out of time */
     atomic {
       if
#ifndef FAULT_UNKNOWN_IS_FAILED
       :: mayHaveTakenEffect -> fate[o] = UNKNOWN
       :: !mayHaveTakenEffect -> fate[o] = NOT_STORED
#else
       :: fate[o] = NOT_STORED
#endif
       fi;
       break }
  od;
  atomic {
    /* Truthful */
    assert((fate[o] != CONFLICT && fate[o] != NOT_STORED) || (tookEffect & BIT(o)) == 0);
    if :: fate[o] != UNKNOWN -> busy = busy & ~BIT(o) :: else fi;
    mayHaveTakenEffect = false;
    attempts = 0
  };
  atomic {
#ifdef FAULT_ACCEPT_BY_REVISION
    fate[o] == DONE && MajorityReached(writtenAt[o]) ->
#else
    fate[o] == DONE && MajorityHolds(o) ->
#endif
    assert(MajorityHolds(o));                                /* Accepted */
    accepted = accepted | BIT(o);
#ifdef REACH_BOTH_ACCEPTED
    assert(accepted != 3);
#endif
  }
}

/* Attempts that reach the store after their answer was given up. */
proctype network()
{
  do
  :: atomic { late & BIT(0) -> late = late & ~BIT(0); if :: MayWrite(0) -> write(0) :: else fi }
  :: atomic { late & BIT(1) -> late = late & ~BIT(1); if :: MayWrite(1) -> write(1) :: else fi }
  od
}

/* Whether a member that holds h puts v in force. */
#ifdef FAULT_APPLY_ANY
#define IsApplied(h, v) (v.revision != h.revision)
#elif defined(FAULT_APPLY_BY_REVISION)
#define IsApplied(h, v) (v.revision > h.revision)
#else
#define IsApplied(h, v) \
  (v.revision > h.revision && Contains(v.history | v.overruled, h.history))
#endif

inline offer(m, v)
{
  if
  :: IsApplied(held[m], v) ->
     assert(v.revision > held[m].revision);                              /* Rising */
     assert(Contains(v.history, (held[m].history & accepted)));            /* Kept */
     Assign(held[m], v)
  :: else
  fi
}

proctype member(byte m)
{
  byte from;
  do
  :: /* own read; member 0 may be paused between read and use */
     atomic { m == 0 -> Assign(fetched, stored) }
  :: atomic { m == 0 -> offer(0, fetched) }
  :: atomic { m != 0 -> offer(m, stored) }
  :: /* another member hands over what it holds */
     atomic {
       select (from : 0 .. MEMBERS - 1);
       offer(m, held[from]);
       from = 0
     }
  :: /* the store lacks what a majority has in force: write it back on top */
     atomic {
       !Contains(stored.history | stored.overruled, held[m].history) &&
#ifndef FAULT_WRITE_BACK_ALONE
       MajorityHoldsAll(held[m].history) &&
#endif
       revision < LAST_REVISION ->
#ifdef REACH_WRITTEN_BACK
       assert(false);
#endif
       revision++;
       stored.overruled = stored.overruled | stored.history | held[m].overruled;
       stored.overruled = stored.overruled & ~held[m].history;
       stored.history = held[m].history;
       stored.newest = 0;
       stored.revision = revision
     }
  od
}

proctype platform()
{
  bool copied;
  do
  :: atomic { !copied -> copied = true; Assign(copy, stored) }
  :: atomic {
       !restored && busy == 0 && late == 0 && revision > copy.revision ->
       restored = true;
       revision = copy.revision;
       Assign(stored, copy)
     }
  :: /* another key is written */
     atomic { restored && revision < LAST_REVISION -> revision++ }
  od
}

init {
  byte m;
  atomic {
    stored.revision = 1;
    Assign(copy, stored);
    for (m : 0 .. MEMBERS - 1) { held[m].revision = 1 };
    fetched.revision = 1;
    run operator(0);
    run operator(1);
    run network();
    for (m : 0 .. MEMBERS - 1) { run member(m) };
    run platform()
  }
}

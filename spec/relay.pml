/*
 * Model: a host that the store turns away reads the keys under a prefix from the views of two peers.
 *
 * One key under the prefix is written or deleted up to three times; each change has a revision. A
 * peer's view is the key as an answer of the store showed it, with the revision of that answer, and
 * the revision from which on the view knows all deletions. The reader lists, then watches; after any
 * watch that cannot tell all changes it lists again. It changes peers at will, and a peer may
 * restart at any time.
 *
 * Properties
 *   Back   the reader never replaces what it knows by an older state of the key.
 *   Whole  once the reader has caught up with a revision, its key is as the store had it then.
 *
 * Seeded faults
 *   FAULT_LIST_ANY_VIEW     a peer lists its view, however old, instead of reading the store for a
 *                           reader that knows a newer change.
 *   FAULT_DELETION_UNSEEN   a peer answers a watch from before the revision from which on it knows
 *                           all deletions.
 *   FAULT_RESUME_AT_ANSWER  after a failed call the reader goes on from the revision of its last
 *                           answer, which may have hidden a change, not from the newest change.
 *   FAULT_NOT_FROM_LISTING  a view that has just been listed claims to know all earlier deletions.
 *
 * States that must be reachable
 *   REACH_SWITCHED  the reader has taken states from both peers.
 *
 * Implemented by: src/libcontrol/store_view.cpp, store_relay_wire.cpp and relayed_store.cpp.
 *
 * Left out: values other than "absent" and the revision of the last write; loss of calls, which is a
 * step that is not taken.
 */

#define PEERS 2
#define LAST 3           /* changes of the key */

byte revision = 0;       /* of the store */
byte history[4];         /* by revision: the key's modification revision, 0 while it is absent */

byte viewRevision[PEERS];
byte viewKey[PEERS];
byte completeFrom[PEERS]; /* the view knows each deletion after this revision */
bool listed[PEERS];

byte known = 0;          /* the reader: newest change of the key that it has seen */
byte key = 0;            /* the reader: modification revision of the key, 0: absent */
byte after = 0;          /* the reader: the revision up to which it has caught up */
bool hasListed = false;
bool tookFrom[PEERS];

active proctype Operator()
{
  do
  :: atomic { revision < LAST ->
      revision++;
      if
      :: history[revision] = revision
      :: history[revision - 1] != 0 -> history[revision] = 0
      fi
    }
  :: revision == LAST -> break
  od
}

inline list_from_store(p)
{
  viewRevision[p] = revision;
  viewKey[p] = history[revision];
#ifndef FAULT_NOT_FROM_LISTING
  completeFrom[p] = revision;
#endif
  listed[p] = true
}

active [PEERS] proctype Peer()
{
  byte p = _pid - 1;
  byte r;
  do
  :: atomic { !listed[p] -> list_from_store(p) }
  :: atomic { listed[p] && viewRevision[p] < revision ->
      /* an answer to the peer's own watch: the next changes, one or more */
      r = viewRevision[p] + 1;
      do
      :: r < revision -> r++
      :: break
      od;
      if
      :: history[r] == 0 && viewKey[p] != 0 -> completeFrom[p] = r
      :: history[r] == 0 && viewKey[p] == 0 && r > viewRevision[p] + 1 -> completeFrom[p] = r
      :: else
      fi;
      viewRevision[p] = r;
      viewKey[p] = history[r];
      r = 0
    }
  :: atomic { listed[p] -> listed[p] = false; viewRevision[p] = 0; viewKey[p] = 0;
      completeFrom[p] = 0 } /* restarts */
  od
}

/* The reader takes a state of the key as of the given revision; changedAt is its newest change. */
inline take(state, asOf)
{
  changedAt = (state == 0 -> asOf : state);
  assert(state == key || changedAt >= known);          /* Back */
  if
  :: state != key -> known = changedAt
  :: else
  fi;
  key = state;
  after = (asOf > after -> asOf : after)
}

active proctype Reader()
{
  byte p, changedAt, state;
  do
  :: atomic { true -> if :: p = 0 :: p = 1 fi }
    if
    :: atomic { !hasListed && listed[p] ->
#ifndef FAULT_LIST_ANY_VIEW
        if
        :: viewRevision[p] >= known ->
#endif
          state = viewKey[p];
          take(state, viewRevision[p]);
          after = viewRevision[p];
#ifndef FAULT_LIST_ANY_VIEW
        :: else -> /* the peer reads the store */
          state = history[revision];
          take(state, revision)
        fi;
#endif
        hasListed = true; tookFrom[p] = true
      }
    :: atomic { hasListed && listed[p] ->
        if
#ifndef FAULT_DELETION_UNSEEN
        :: after < completeFrom[p] -> hasListed = false   /* compacted: list again */
        :: after >= completeFrom[p] ->
#else
        :: true ->
#endif
          if
          :: viewKey[p] > after -> state = viewKey[p]; take(state, viewRevision[p]); tookFrom[p] = true
          :: else -> after = (viewRevision[p] > after -> viewRevision[p] : after)
          fi;
          assert(key == history[after])                   /* Whole */
        fi
      }
    :: atomic { hasListed -> hasListed = false }          /* a call fails: list again */
#ifdef FAULT_RESUME_AT_ANSWER
    :: atomic { hasListed && after < revision -> after++ } /* an answer that hid a change */
#else
    :: atomic { hasListed -> after = known }              /* or ask for what came after `known` */
#endif
    :: else
    fi;
#ifdef REACH_SWITCHED
    assert(!(tookFrom[0] && tookFrom[1] && known > 0));
#endif
  od
}

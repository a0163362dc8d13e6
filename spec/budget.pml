/*
 * Model: one instance's connection limit, divided among routers that join and leave.
 *
 * The list of routers in the store passes through three views: view 1 is routers
 * {0, 1}, view 2 is {0, 1, 2}, view 3 is {0, 2}. A router sees each view with a
 * delay and may skip one. Each view divides the connections of the instance
 * among its members; the part of one member is its share.
 *
 * A router keeps a base view and the later views that it has seen. It may use as
 * many connections as the smallest of its shares in these views (its allowance).
 * A router has settled on a view when that view is the newest that it has seen
 * and it uses no more than its share there. A router may move its base on to a
 * view once all members of the views from the base up to that view have settled
 * on it or have stopped.
 *
 * Properties
 *   Limit  the routers together never use more than CONNECTION_LIMIT connections.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_LARGER_SHARE         router 0, whose base is view 3, uses its share of
 *                              two connections again.
 *   REACH_FULL_IN_SECOND_VIEW  all connections are used while view 2 is in the store.
 *   REACH_FULL_IN_THIRD_VIEW   all connections are used by the members of view 3.
 *
 * Seeded faults
 *   FAULT_GROW_AT_ONCE         a router moves its base on without waiting for others.
 *   FAULT_JOIN_UNVOUCHED       a router that joins takes its first base without the
 *                              report of a peer that has this base, and without
 *                              waiting for the release time.
 *   FAULT_LATER_VIEW_COUNTS    a router that reports that it has settled on a later
 *                              view is taken to have settled on the earlier one.
 *   FAULT_NO_RELEASE_WAIT      a router that was removed from the list is taken to
 *                              have stopped as soon as its removal is seen.
 *   FAULT_UNCONFIRMED_GOES_ON  a router whose view is no longer confirmed does not
 *                              stop.
 *
 * Implemented by
 *   share, allowance, settling, base        src/librouting/share_ledger.cpp
 *   use within the allowance                src/librouting/routing_core.cpp
 *   reports, confirmation of the own view   src/router/router_group.cpp
 *
 * Failures in the model. Reports may be lost or late. A router may pause at any
 * step. Router 1 is removed from the list while it still runs, because its lease
 * lapsed while it was paused or cut off; it stops only when its view has not been
 * confirmed for more than CONFIRM_TICKS. Router 2 joins without any state.
 *
 * Left out: connections that stay open after their router has stopped (the
 * release time has to cover them); slots, which follow the same rule as
 * connections; a router that comes back; more than three views; clock drift.
 */

#define CONNECTION_LIMIT 3
#define ROUTERS 3
#define CONFIRM_TICKS 1        /* ticks that a router runs on with an unconfirmed view */
#define RELEASE_TICKS 1        /* once more ticks have passed, a removed router has stopped */
#define OFF 255                /* value of a tick counter that is not running */
#define NONE 0                 /* no view */
#define BIT(x) (1 << (x))

#define IsMember(v, m) (m == 0 || (m == 1 && v != 3) || (m == 2 && v != 1))
#define Share(v, m) \
  (!IsMember(v, m) -> 0 : (v == 2 -> 1 : ((v != 2 && m == 0) -> 2 : 1)))

byte storeView = 1;            /* view in the store */
byte ticksSinceRemoval = OFF;  /* ticks since router 1 was removed from the list */

byte keptViews[ROUTERS];       /* the base and the later views seen, as bits */
byte baseView[ROUTERS];        /* NONE: the router may use no connection */
byte newestSeen[ROUTERS];      /* newest view seen */
byte settledOn[ROUTERS];       /* view on which the router has settled */
byte inUse[ROUTERS];           /* connections in use */
bool router1Stopped;           /* its view was not confirmed in time */

/* Last report received: index 3 * receiver + sender. */
byte reportedSettled[9];
byte reportedBase[9];
byte ticksSinceRemovalSeen[ROUTERS] = OFF;  /* ticks since the router saw the removal of router 1 */
byte ticksSinceFirstView = OFF;             /* ticks since router 2 saw its first view */

#define Least(a, b) ((a) < (b) -> (a) : (b))
#define ShareIfKept(m, v) \
  (((keptViews[m] & BIT(v)) && v >= baseView[m]) -> Share(v, m) : CONNECTION_LIMIT)
#define LeastKeptShare(m) \
  Least(ShareIfKept(m, 1), Least(ShareIfKept(m, 2), ShareIfKept(m, 3)))
#define Allowance(m) (baseView[m] == NONE -> 0 : LeastKeptShare(m))

/* Counts one tick, up to one more than the limit; OFF stays OFF. */
#define CountTick(a, last) if :: a <= last -> a++ :: else fi

proctype clock()
{
  do
  :: atomic {
       CountTick(ticksSinceRemoval, CONFIRM_TICKS);
       CountTick(ticksSinceRemovalSeen[0], RELEASE_TICKS);
       CountTick(ticksSinceRemovalSeen[2], RELEASE_TICKS);
       CountTick(ticksSinceFirstView, RELEASE_TICKS);
#ifndef FAULT_UNCONFIRMED_GOES_ON
       if
       :: ticksSinceRemoval != OFF && ticksSinceRemoval > CONFIRM_TICKS && !router1Stopped ->
          router1Stopped = true; baseView[1] = NONE; inUse[1] = 0
       :: else
       fi
#endif
     }
  od
}

proctype store()
{
  storeView = 2;
  atomic { storeView = 3; ticksSinceRemoval = 0 }
}

/* Whether router m has a report from router f that f has settled on view v. */
#ifdef FAULT_LATER_VIEW_COUNTS
#define ReportsSettled(m, f, v) (reportedSettled[3 * m + f] >= v)
#else
#define ReportsSettled(m, f, v) (reportedSettled[3 * m + f] == v)
#endif
/* Whether router m may take it that router f has stopped; only router 1 ever stops. */
#ifdef FAULT_NO_RELEASE_WAIT
#define HasStopped(m, f) (f == 1 && ticksSinceRemovalSeen[m] != OFF)
#else
#define HasStopped(m, f) \
  (f == 1 && ticksSinceRemovalSeen[m] != OFF && ticksSinceRemovalSeen[m] > RELEASE_TICKS)
#endif
#define HasSettled(m, f, v) \
  ((f == m && settledOn[m] == v) || (f != m && (ReportsSettled(m, f, v) || HasStopped(m, f))))
/* Whether router m finds that all members of view u have settled on view v. */
#define AllSettled(m, u, v) \
  ((!IsMember(u, 0) || HasSettled(m, 0, v)) && (!IsMember(u, 1) || HasSettled(m, 1, v)) && \
   (!IsMember(u, 2) || HasSettled(m, 2, v)))
/* Whether view u is among those that router m keeps, from its base up to view v. */
#define IsKeptUpTo(m, u, v) ((keptViews[m] & BIT(u)) && u >= baseView[m] && u <= v)
#define IsSettledUpTo(m, v) \
  ((!IsKeptUpTo(m, 1, v) || AllSettled(m, 1, v)) && \
   (!IsKeptUpTo(m, 2, v) || AllSettled(m, 2, v)) && \
   (!IsKeptUpTo(m, 3, v) || AllSettled(m, 3, v)))
/* A router without a base needs a peer that reports base v, or must wait for the release time. */
#ifdef FAULT_JOIN_UNVOUCHED
#define MayTakeBase(m, v) (true)
#else
#define MayTakeBase(m, v) \
  (baseView[m] != NONE || reportedBase[3 * m] == v || reportedBase[3 * m + 1] == v || \
   reportedBase[3 * m + 2] == v || \
   (ticksSinceFirstView != OFF && ticksSinceFirstView > RELEASE_TICKS))
#endif

proctype router(byte m)
{
  byte f;
  byte v;
  do
  :: /* a later view arrives */
     atomic {
       newestSeen[m] < storeView && !(m == 1 && (router1Stopped || storeView == 3)) &&
       (m != 2 || storeView >= 2) ->
       if
       :: newestSeen[m] != NONE && newestSeen[m] != 3 && storeView == 3 ->
          ticksSinceRemovalSeen[m] = 0
       :: else
       fi;
       if :: m == 2 && newestSeen[m] == NONE -> ticksSinceFirstView = 0 :: else fi;
       newestSeen[m] = storeView;
       keptViews[m] = keptViews[m] | BIT(storeView)
     }
  :: /* the router settles on the newest view */
     atomic {
       newestSeen[m] != NONE && settledOn[m] != newestSeen[m] &&
       inUse[m] <= Share(newestSeen[m], m) &&
       !(m == 1 && router1Stopped) ->
       settledOn[m] = newestSeen[m]
     }
  :: /* a report from another router arrives */
     atomic {
       select (f : 0 .. ROUTERS - 1);
       if
       :: f != m && !(f == 1 && router1Stopped) ->
          reportedSettled[3 * m + f] = settledOn[f];
          reportedBase[3 * m + f] = baseView[f]
       :: else
       fi;
       f = 0
     }
  :: /* the base moves on to a later view */
     atomic {
       select (v : 1 .. 3);
       if
       :: (keptViews[m] & BIT(v)) && v > baseView[m] && !(m == 1 && router1Stopped) &&
#ifdef FAULT_GROW_AT_ONCE
          true ->
#else
          IsSettledUpTo(m, v) && MayTakeBase(m, v) ->
#endif
          baseView[m] = v;
          if
          :: v == 2 -> keptViews[m] = keptViews[m] & ~BIT(1)
          :: v == 3 -> keptViews[m] = BIT(3)
          :: else
          fi
       :: else
       fi;
       v = 0
     }
  :: /* a connection is closed */
     atomic { inUse[m] > 0 -> inUse[m]-- }
  :: /* a connection is opened */
     atomic {
       inUse[m] < Allowance(m) ->
       inUse[m]++;
       assert(inUse[0] + inUse[1] + inUse[2] <= CONNECTION_LIMIT);  /* Limit */
#ifdef REACH_LARGER_SHARE
       assert(inUse[0] < 2 || baseView[0] != 3);
#endif
#ifdef REACH_FULL_IN_SECOND_VIEW
       assert(!(inUse[0] == 1 && inUse[1] == 1 && inUse[2] == 1 && storeView == 2));
#endif
#ifdef REACH_FULL_IN_THIRD_VIEW
       assert(!(inUse[0] == 2 && inUse[2] == 1));
#endif
     }
  od
}

init {
  byte m;
  atomic {
    for (m : 0 .. 1) {
      keptViews[m] = BIT(1); baseView[m] = 1; newestSeen[m] = 1; settledOn[m] = 1;
      reportedSettled[3 * m + 1 - m] = 1;
      reportedBase[3 * m + 1 - m] = 1
    };
    run clock();
    run store();
    for (m : 0 .. ROUTERS - 1) { run router(m) }
  }
}

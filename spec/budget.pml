/*
 * The connections of one instance, shared by routers that join and leave.
 *
 * The store's list of routers goes through three views: 1 is {0, 1}, 2 is
 * {0, 1, 2}, 3 is {0, 2}. Each router sees the views late, and may skip one.
 * Each view deals the instance's connections out to its members.
 *
 * Properties
 *   Limit      the routers together never use more connections than TOTAL.
 *   REACH_...  the model is not empty: router 0 uses its larger share of view
 *              3; the whole limit is used in view 2 and in view 3.
 *
 * Rules and where they are implemented
 *   share, allowance, settle, base          src/librouting/share_ledger.cpp
 *   use within the allowance                src/librouting/routing_core.cpp
 *   reports, confirmation of the own view   src/router/router_group.cpp
 *
 * Failures. Reports may be lost or late; a router may pause at any step; router
 * 1 is taken off the list although it goes on (its lease lapsed while it was
 * paused or cut off) and stops only when its own view has not been confirmed
 * for CONFIRMED ticks. Router 2 joins and knows nothing of what was before.
 *
 * Abstracted away: connections that linger after their router has stopped (the
 * release time has to cover them), slots (the same rule), a router that comes
 * back, more than three views, clock drift.
 */

#define TOTAL 3
#define ROUTERS 3
#define CONFIRMED 1            /* ticks that a router goes on unconfirmed */
#define RELEASE 1              /* ticks after which a removed one has stopped */
#define OFF 255
#define NONE 0
#define BIT(x) (1 << (x))

#define IsMember(v, m) (m == 0 || (m == 1 && v != 3) || (m == 2 && v != 1))
#define Share(v, m) \
  (!IsMember(v, m) -> 0 : (v == 2 -> 1 : ((v != 2 && m == 0) -> 2 : 1)))

byte listed = 1;               /* view in the store */
byte removedFor = OFF;         /* ticks since router 1 was taken off the list */

byte adopted[ROUTERS];         /* views held, as bits; the base and later ones */
byte base[ROUTERS];            /* NONE: may use nothing */
byte newest[ROUTERS];
byte settled[ROUTERS];         /* uses no more than its share of this view */
byte used[ROUTERS];
bool stopped;                  /* router 1 */

/* what each router heard of the others: index 3 * hearer + speaker */
byte heardSettled[9];
byte heardBase[9];
byte seenRemoved[ROUTERS] = OFF;  /* ticks since it saw router 1 off the list */
byte firstView = OFF;          /* ticks since router 2 saw its first view */

#define Least(a, b) ((a) < (b) -> (a) : (b))
#define ShareIfHeld(m, v) (((adopted[m] & BIT(v)) && v >= base[m]) -> Share(v, m) : TOTAL)
#define AllowanceOfHeld(m) \
  Least(ShareIfHeld(m, 1), Least(ShareIfHeld(m, 2), ShareIfHeld(m, 3)))
#define Allowance(m) (base[m] == NONE -> 0 : AllowanceOfHeld(m))

#define Older(a, last) if :: a <= last -> a++ :: else fi

proctype clock()
{
  do
  :: atomic {
       Older(removedFor, CONFIRMED);
       Older(seenRemoved[0], RELEASE);
       Older(seenRemoved[2], RELEASE);
       Older(firstView, RELEASE);
#ifndef FAULT_UNCONFIRMED_GOES_ON
       if
       :: removedFor != OFF && removedFor > CONFIRMED && !stopped ->
          stopped = true; base[1] = NONE; used[1] = 0
       :: else
       fi
#endif
     }
  od
}

proctype store()
{
  listed = 2;
  atomic { listed = 3; removedFor = 0 }
}

/* Whether member f is known to stay within its share of view v. */
#ifdef FAULT_LATER_VIEW_COUNTS
#define Stays(m, f, v) (heardSettled[3 * m + f] >= v)
#else
#define Stays(m, f, v) (heardSettled[3 * m + f] == v)
#endif
#ifdef FAULT_NO_RELEASE_WAIT
#define HasStopped(m, f) (f == 1 && seenRemoved[m] != OFF)
#else
#define HasStopped(m, f) (f == 1 && seenRemoved[m] != OFF && seenRemoved[m] > RELEASE)
#endif
#define HasSettled(m, f, v) \
  ((f == m && settled[m] == v) || (f != m && (Stays(m, f, v) || HasStopped(m, f))))
#define AllSettled(m, u, v) \
  ((!IsMember(u, 0) || HasSettled(m, 0, v)) && (!IsMember(u, 1) || HasSettled(m, 1, v)) && \
   (!IsMember(u, 2) || HasSettled(m, 2, v)))
#define IsBetween(m, u, v) ((adopted[m] & BIT(u)) && u >= base[m] && u <= v)
#define MaySettleOn(m, v) \
  ((!IsBetween(m, 1, v) || AllSettled(m, 1, v)) && (!IsBetween(m, 2, v) || AllSettled(m, 2, v)) && \
   (!IsBetween(m, 3, v) || AllSettled(m, 3, v)))
#ifdef FAULT_JOIN_UNVOUCHED
#define IsVouched(m, v) (true)
#else
#define IsVouched(m, v) \
  (base[m] != NONE || heardBase[3 * m] == v || heardBase[3 * m + 1] == v || \
   heardBase[3 * m + 2] == v || (firstView != OFF && firstView > RELEASE))
#endif

proctype router(byte m)
{
  byte f;
  byte v;
  do
  :: /* a later view arrives */
     atomic {
       newest[m] < listed && !(m == 1 && (stopped || listed == 3)) && (m != 2 || listed >= 2) ->
       if
       :: newest[m] != NONE && newest[m] != 3 && listed == 3 -> seenRemoved[m] = 0
       :: else
       fi;
       if :: m == 2 && newest[m] == NONE -> firstView = 0 :: else fi;
       newest[m] = listed;
       adopted[m] = adopted[m] | BIT(listed)
     }
  :: /* it uses no more than its share of the newest view */
     atomic {
       newest[m] != NONE && settled[m] != newest[m] && used[m] <= Share(newest[m], m) &&
       !(m == 1 && stopped) ->
       settled[m] = newest[m]
     }
  :: /* another router's report arrives */
     atomic {
       select (f : 0 .. ROUTERS - 1);
       if
       :: f != m && !(f == 1 && stopped) ->
          heardSettled[3 * m + f] = settled[f];
          heardBase[3 * m + f] = base[f]
       :: else
       fi;
       f = 0
     }
  :: /* the base moves on */
     atomic {
       select (v : 1 .. 3);
       if
       :: (adopted[m] & BIT(v)) && v > base[m] && !(m == 1 && stopped) &&
#ifdef FAULT_GROW_AT_ONCE
          true ->
#else
          MaySettleOn(m, v) && IsVouched(m, v) ->
#endif
          base[m] = v;
          if
          :: v == 2 -> adopted[m] = adopted[m] & ~BIT(1)
          :: v == 3 -> adopted[m] = BIT(3)
          :: else
          fi
       :: else
       fi;
       v = 0
     }
  :: atomic { used[m] > 0 -> used[m]-- }
  :: /* one more connection */
     atomic {
       used[m] < Allowance(m) ->
       used[m]++;
       assert(used[0] + used[1] + used[2] <= TOTAL);         /* Limit */
#ifdef REACH_LARGER_SHARE
       assert(used[0] < 2 || base[0] != 3);
#endif
#ifdef REACH_FULL_IN_SECOND_VIEW
       assert(!(used[0] == 1 && used[1] == 1 && used[2] == 1 && listed == 2));
#endif
#ifdef REACH_FULL_IN_THIRD_VIEW
       assert(!(used[0] == 2 && used[2] == 1));
#endif
     }
  od
}

init {
  byte m;
  atomic {
    for (m : 0 .. 1) {
      adopted[m] = BIT(1); base[m] = 1; newest[m] = 1; settled[m] = 1;
      heardSettled[3 * m + 1 - m] = 1;
      heardBase[3 * m + 1 - m] = 1
    };
    run clock();
    run store();
    for (m : 0 .. ROUTERS - 1) { run router(m) }
  }
}

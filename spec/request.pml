/*
 * One non-repeatable request with an idempotency key, sent through router 0
 * and again through router 1.
 *
 * The second sending may come at any moment: after an answer, after a cut, or
 * while the first is still under way. A key is claimed at three holders before
 * anything is sent to an instance.
 *
 * Properties
 *   AtMostOnce  the request runs at most once, on all instances and routers.
 *   NotRun      "not-run" is told only when the request has not run under that
 *               answer and never will.
 *   OneAnswer   a call gets at most one answer.
 *   Own         the answer "ok" is that of the caller's own request.
 *   REACH_...   "ok" after a retry; "ok" by the second router; "unknown" there;
 *               a claim granted while a holder is out of reach.
 *
 * Rules and where they are implemented
 *   outcomes, which of them are retried     src/librouting/outcome.cpp,
 *                                           src/librouting/routing_core.cpp
 *   answer matched by request id, late      src/router/request_broker.cpp,
 *     answers dropped with their connection   src/libnet/http_pool.cpp
 *   claims, young holders, majority         src/librouting/key_claims.cpp
 *   claim before the send, withdrawn after  src/router/key_claimer.cpp
 *     "not-run"
 *
 * Failures. An offer of a claim, its answer, a request or its answer may be
 * lost or late; answers may belong to another request; an instance may die
 * before, within and after the run; a router may die, which is a step never
 * taken; one holder restarts and has forgotten its claims, and says so by
 * calling itself young.
 *
 * Abstracted away: queues, budgets, deadlines (a router may give up at any
 * step), bodies, the expiry of claims. Both routers see the same holders: a
 * change of members between the two sendings is not covered.
 */

#define HOLDERS 3
#define NOBODY 0
#define Owner(r) (r + 1)
#define BIT(x) (1 << (x))

mtype = { NONE, OK, NOT_RUN, UNKNOWN };

/* holders of claims */
byte owner[HOLDERS];           /* whose claim is held */
bit young[HOLDERS];            /* restarted within the retention of claims */
#ifdef FAULT_TWO_HOLDERS_RESTART
byte restarts = 2;
#else
byte restarts = 1;
#endif

/* routers */
byte offered[2];               /* offers still on their way, as bits */
byte withdrawn[2];             /* withdrawals still on their way */
byte granted[2];               /* verdicts that came back */
byte grantedYoung[2];
bool held[2];
bool isOpen[2];                /* the router still counts verdicts */
mtype told[2] = NONE;

/* instances */
byte onWay[2];                 /* sent requests that have not arrived */
bit ownAnswer[2];              /* answers that have come back */
bit refusal[2];
byte runs;
bit ranFor[2];

inline tell(r, what)
{
  assert(told[r] == NONE);                                   /* OneAnswer */
  told[r] = what;
  assert(what != NOT_RUN || (!ranFor[r] && onWay[r] == 0))   /* NotRun */
}

proctype holder(byte h)
{
  byte r;
  do
  :: atomic {
       select (r : 0 .. 1);
       if
       :: offered[r] & BIT(h) ->
          offered[r] = offered[r] & ~BIT(h);
          if
          :: owner[h] == NOBODY || owner[h] == Owner(r) ->
             owner[h] = Owner(r);
             if
             :: !isOpen[r] -> skip
             :: isOpen[r] && young[h] -> grantedYoung[r]++
             :: isOpen[r] && !young[h] -> granted[r]++
             :: skip                                    /* the answer is lost */
             fi
          :: else -> if :: isOpen[r] -> held[r] = true :: skip fi
          fi
       :: withdrawn[r] & BIT(h) ->
          withdrawn[r] = withdrawn[r] & ~BIT(h);
          if :: owner[h] == Owner(r) -> owner[h] = NOBODY :: else fi
       :: else
       fi;
       r = 0
     }
  :: atomic { restarts > 0 && !young[h] -> restarts--; young[h] = 1; owner[h] = NOBODY }
  od
}

proctype instances(byte r)
{
  do
  :: atomic {
       onWay[r] > 0 ->
       onWay[r]--;
       if
       :: skip                                          /* lost, or died before */
       :: refusal[r] = 1                                /* says that it was not run */
       :: assert(told[r] != NOT_RUN);                   /* NotRun */
          runs++;
          assert(runs <= 1);                            /* AtMostOnce */
          ranFor[r] = 1;
          if :: ownAnswer[r] = 1 :: skip fi             /* died after it, or cut */
       fi
     }
  od
}

#ifdef FAULT_MAJORITY_OF_YOUNG
#define MajorityGrants(r) (granted[r] + grantedYoung[r] >= 2)
#else
#define MajorityGrants(r) (granted[r] >= 2)
#endif
#define AllGrant(r) (granted[r] + grantedYoung[r] == HOLDERS)

proctype router(byte r)
{
  byte tries;

#ifndef FAULT_SEND_WITHOUT_CLAIM
  atomic { isOpen[r] = true; offered[r] = BIT(0) | BIT(1) | BIT(2) };
  /* decide when the verdicts suffice, or when time is up */
  atomic {
    isOpen[r] = false;
    if
    :: held[r] || !(AllGrant(r) || MajorityGrants(r)) -> tell(r, UNKNOWN); goto end
    :: else
    fi;
#ifdef REACH_GRANTED_BY_MAJORITY
    assert(AllGrant(r));
#endif
    granted[r] = 0;
    grantedYoung[r] = 0
  };
#endif

send:
  atomic {
    tries++;
    if
    :: onWay[r]++
    :: if :: tries < 2 -> goto send :: goto not_run fi  /* no byte was written */
    fi
  };

  /* ---- what comes back, or time is up */
  if
  :: atomic { ownAnswer[r] -> ownAnswer[r] = 0 };
     atomic {
#ifdef REACH_OK_AFTER_RETRY
       assert(tries == 1);
#endif
#ifdef REACH_OK_BY_SECOND_ROUTER
       assert(r == 0);
#endif
       tell(r, OK);
       goto end
     }
  :: atomic {                                           /* another request's answer */
#ifdef FAULT_ID_UNCHECKED
       tell(r, OK);
       assert(ranFor[r]);                               /* Own */
       goto end
#else
       goto unknown
#endif
     }
  :: atomic { refusal[r] -> refusal[r] = 0; if :: tries < 2 -> goto send :: goto not_run fi }
  :: atomic {                                           /* cut, truncated, or late */
#ifdef FAULT_RETRY_UNKNOWN
       if :: tries < 2 -> goto send :: skip fi;
#endif
#ifdef FAULT_CUT_IS_NOT_RUN
       goto not_run
#else
       goto unknown
#endif
     }
  fi;

not_run:
  atomic {
    tell(r, NOT_RUN);
    withdrawn[r] = BIT(0) | BIT(1) | BIT(2);
    goto end
  };

unknown:
  atomic {
    tell(r, UNKNOWN);
#ifdef REACH_UNKNOWN_AT_SECOND_ROUTER
    assert(r == 0);
#endif
#ifdef FAULT_UNKNOWN_WITHDRAWS
    withdrawn[r] = BIT(0) | BIT(1) | BIT(2);
#endif
    skip
  };
#ifdef FAULT_LATE_ANSWER_TOLD
  atomic { ownAnswer[r] -> tell(r, OK) };
#endif

end:
  skip
}

init {
  byte i;
  atomic {
    for (i : 0 .. HOLDERS - 1) { run holder(i) };
    for (i : 0 .. 1) { run instances(i); run router(i) }
  }
}

/*
 * Model: one non-repeatable request with an idempotency key, sent through router 0
 * and again through router 1.
 *
 * The caller may send the second call at any moment: after an answer, after a cut
 * connection, or while the first call is in flight. Before a router sends the request
 * to an instance, it claims the key at three holders. A holder that has restarted
 * within the retention time of claims may have lost some, and marks its answers as
 * young. All three holders must grant the claim, or two that are not young.
 *
 * Properties
 *   AtMostOnce  the request runs at most once, over all instances and routers.
 *   NotRun      "not-run" is answered only when the request has not run for that call
 *               and never will.
 *   OneAnswer   a call gets at most one answer.
 *   Own         an answer "ok" belongs to the caller's own request.
 *
 * States that must be reachable (the model would be empty without them)
 *   REACH_OK_AFTER_RETRY            a router answers "ok" after it sent the request again.
 *   REACH_OK_BY_SECOND_ROUTER       the second router answers "ok".
 *   REACH_UNKNOWN_AT_SECOND_ROUTER  the second router answers "unknown" after it sent the
 *                                   request.
 *   REACH_GRANTED_BY_MAJORITY       a claim is granted without the answer of one holder.
 *
 * Seeded faults
 *   FAULT_CUT_IS_NOT_RUN         a cut connection is answered "not-run".
 *   FAULT_ID_UNCHECKED           an answer to another request is passed to the caller.
 *   FAULT_LATE_ANSWER_TOLD       an answer that arrives after "unknown" was answered is
 *                                passed to the caller as a second answer.
 *   FAULT_MAJORITY_OF_YOUNG      grants of young holders count towards the majority.
 *   FAULT_RETRY_UNKNOWN          a request with an unknown outcome is sent again.
 *   FAULT_SEND_WITHOUT_CLAIM     the request is sent without a claim of its key.
 *   FAULT_TWO_HOLDERS_RESTART    two holders restart instead of one, which is more than
 *                                the claims tolerate.
 *   FAULT_UNKNOWN_WITHDRAWS      the claim is withdrawn after an unknown outcome.
 *
 * Implemented by
 *   outcomes, and which of them are retried  src/librouting/outcome.cpp,
 *                                            src/librouting/routing_core.cpp
 *   answers matched by request id; late      src/router/request_broker.cpp,
 *     answers dropped with their connection    src/libnet/http_pool.cpp
 *   claims, young holders, majority          src/librouting/key_claims.cpp
 *   claim before the request, withdrawn      src/router/key_claimer.cpp
 *     after "not-run"
 *
 * Failures in the model. The offer of a claim, its answer, the request and its answer
 * may be lost or late. An answer may belong to another request. An instance may die
 * before, during and after the run. A router may die, which is a step never taken.
 * One holder restarts without its claims, and is young from then on.
 *
 * Left out: queues; budgets; deadlines (a router may give up at any step); bodies; the
 * expiry of claims. Both routers use the same holders: a change of the members between
 * the two calls is not covered.
 */

#define HOLDERS 3
#define NOBODY 0
#define Owner(r) (r + 1)
#define BIT(x) (1 << (x))

mtype = { NONE, OK, NOT_RUN, UNKNOWN };

/* Holders of claims */
byte claimOwner[HOLDERS];      /* router whose claim is held; NOBODY: none */
bit young[HOLDERS];            /* restarted within the retention time of claims */
/* restarts of holders still to come */
#ifdef FAULT_TWO_HOLDERS_RESTART
byte restartsLeft = 2;
#else
byte restartsLeft = 1;
#endif

/* Routers; sets of holders are bits */
byte offers[2];                /* offers of the claim in flight */
byte withdrawals[2];           /* withdrawals of the claim in flight */
byte grants[2];                /* grants received from holders that are not young */
byte youngGrants[2];           /* grants received from young holders */
bool claimedByOther[2];        /* a holder has the claim of the other router */
bool isCounting[2];            /* the router still counts the holders' answers */
mtype callerAnswer[2] = NONE;  /* answer to the caller */

/* Instances, for the request of each router */
byte requestsInFlight[2];      /* sent to an instance, not arrived yet */
bit answerArrived[2];          /* the answer has arrived at the router */
bit refusalArrived[2];         /* a refusal ("was not run") has arrived */
byte runs;                     /* runs of the request */
bit ranFor[2];                 /* the request ran for this router */

/* Router r answers its caller. */
inline answer_caller(r, outcome)
{
  assert(callerAnswer[r] == NONE);                           /* OneAnswer */
  callerAnswer[r] = outcome;
  assert(outcome != NOT_RUN || (!ranFor[r] && requestsInFlight[r] == 0))  /* NotRun */
}

/* A holder receives offers and withdrawals, and may restart without its claims. */
proctype holder(byte h)
{
  byte r;
  do
  :: atomic {
       select (r : 0 .. 1);
       if
       :: offers[r] & BIT(h) ->
          offers[r] = offers[r] & ~BIT(h);
          if
          :: claimOwner[h] == NOBODY || claimOwner[h] == Owner(r) ->
             claimOwner[h] = Owner(r);
             if
             :: !isCounting[r] -> skip
             :: isCounting[r] && young[h] -> youngGrants[r]++
             :: isCounting[r] && !young[h] -> grants[r]++
             :: skip                                    /* the answer is lost */
             fi
          :: else -> if :: isCounting[r] -> claimedByOther[r] = true :: skip fi
          fi
       :: withdrawals[r] & BIT(h) ->
          withdrawals[r] = withdrawals[r] & ~BIT(h);
          if :: claimOwner[h] == Owner(r) -> claimOwner[h] = NOBODY :: else fi
       :: else
       fi;
       r = 0
     }
  :: atomic {
       restartsLeft > 0 && !young[h] ->
       restartsLeft--; young[h] = 1; claimOwner[h] = NOBODY
     }
  od
}

/* The instances that receive the requests of router r. */
proctype instances(byte r)
{
  do
  :: atomic {
       requestsInFlight[r] > 0 ->
       requestsInFlight[r]--;
       if
       :: skip                                       /* lost, or the instance died before the run */
       :: refusalArrived[r] = 1                         /* refused: not run */
       :: assert(callerAnswer[r] != NOT_RUN);           /* NotRun */
          runs++;
          assert(runs <= 1);                            /* AtMostOnce */
          ranFor[r] = 1;
          if :: answerArrived[r] = 1 :: skip fi     /* answered, or died or cut off after the run */
       fi
     }
  od
}

#ifdef FAULT_MAJORITY_OF_YOUNG
#define MajorityGrants(r) (grants[r] + youngGrants[r] >= 2)
#else
#define MajorityGrants(r) (grants[r] >= 2)
#endif
#define AllGrant(r) (grants[r] + youngGrants[r] == HOLDERS)

proctype router(byte r)
{
  byte tries;

#ifndef FAULT_SEND_WITHOUT_CLAIM
  atomic { isCounting[r] = true; offers[r] = BIT(0) | BIT(1) | BIT(2) };
  /* decides once the answers suffice or the time is up */
  atomic {
    isCounting[r] = false;
    if
    :: claimedByOther[r] || !(AllGrant(r) || MajorityGrants(r)) ->
       answer_caller(r, UNKNOWN);
       goto end
    :: else
    fi;
#ifdef REACH_GRANTED_BY_MAJORITY
    assert(AllGrant(r));
#endif
    grants[r] = 0;
    youngGrants[r] = 0
  };
#endif

send:
  atomic {
    tries++;
    if
    :: requestsInFlight[r]++
    :: if :: tries < 2 -> goto send :: goto not_run fi  /* no byte was written */
    fi
  };

  /* ---- an answer arrives, or the time is up */
  if
  :: atomic { answerArrived[r] -> answerArrived[r] = 0 };
     atomic {
#ifdef REACH_OK_AFTER_RETRY
       assert(tries == 1);
#endif
#ifdef REACH_OK_BY_SECOND_ROUTER
       assert(r == 0);
#endif
       answer_caller(r, OK);
       goto end
     }
  :: atomic {                                           /* the answer to another request */
#ifdef FAULT_ID_UNCHECKED
       answer_caller(r, OK);
       assert(ranFor[r]);                               /* Own */
       goto end
#else
       goto unknown
#endif
     }
  :: atomic {
       refusalArrived[r] ->
       refusalArrived[r] = 0;
       if :: tries < 2 -> goto send :: goto not_run fi
     }
  :: atomic {                                           /* cut, truncated or late */
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
    answer_caller(r, NOT_RUN);
    withdrawals[r] = BIT(0) | BIT(1) | BIT(2);
    goto end
  };

unknown:
  atomic {
    answer_caller(r, UNKNOWN);
#ifdef REACH_UNKNOWN_AT_SECOND_ROUTER
    assert(r == 0);
#endif
#ifdef FAULT_UNKNOWN_WITHDRAWS
    withdrawals[r] = BIT(0) | BIT(1) | BIT(2);
#endif
    skip
  };
#ifdef FAULT_LATE_ANSWER_TOLD
  atomic { answerArrived[r] -> answer_caller(r, OK) };
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

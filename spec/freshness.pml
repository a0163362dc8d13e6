/*
 * Freshness and withdrawal: when may a scheduler still start a task?
 *
 * One failure domain is withdrawn once. A scheduler may start a task there
 * only while its view of the settings is confirmed within T ticks, and only
 * under a reservation of the worker that lapses after TTL ticks.
 *
 * Properties
 *   LateStart   no task starts more than T + TTL ticks after the withdrawal
 *               was accepted.
 *   Outage      with the store away and a majority of the member record in
 *               reach, a scheduler can confirm its view (probe process).
 *   REACH_...   the model is not empty: a start by majority, an accepted
 *               withdrawal and a counting new record are reachable.
 *
 * Rules and where they are implemented
 *   confirm by own store read            src/libsettings/freshness
 *   confirm by a peer's age              src/libsettings/freshness
 *   confirm by majority of the record    src/libsettings/freshness
 *   member record in two steps           src/libsettings/freshness
 *   push to a majority before accepted   src/libsettings (settings push)
 *   reserve, then check, then start      src/libjobs/job_core
 *   a lapsed reservation starts nothing  worker (docs/API.md)
 *
 * Failures. No step is ever forced. An outage, a cut, a pause, a lost answer
 * or a slow message is a step that is not taken or taken late, so all of them
 * are in the search, alone and together. A restart empties a member's memory.
 *
 * Abstracted away: values (a view is 0, or 1 for "knows the withdrawal"),
 * clock drift, more than one withdrawal and more than one record change. Ages
 * are counted up to the first value at which they no longer matter. A store
 * that goes back to an older copy is in settings.pml.
 */

#define T 1
#define TTL 1
#define OLD 255                /* an age past every bound */
#define MEMBERS 4

#define NONE 0
#define FIRST 1                /* record {0, 1, 2} */
#define SECOND 2               /* record {1, 2, 3} */
#define InRecord(r, m) ((r == FIRST && m <= 2) || (r == SECOND && m >= 1))
#define BIT(m) (1 << (m))
#define Majority(set, r) \
  ((r == FIRST && (((set) & 3) == 3 || ((set) & 5) == 5 || ((set) & 6) == 6)) || \
   (r == SECOND && (((set) & 6) == 6 || ((set) & 10) == 10 || ((set) & 12) == 12)))

/* store */
bit storeKnows;                /* the withdrawal is written */
byte storeRecord = FIRST;
bool recordCounts = true;      /* a majority of the former record holds it */

/* members */
bit knows[MEMBERS];
byte record[MEMBERS];          /* member record held */
byte readRecord[MEMBERS];      /* record seen by the own last store read */
byte freshAge;                 /* of member 2's view, since its own store read */
bit restarted;

/* the scheduler that starts tasks */
byte self;
byte askedAge = OLD;           /* since the current question was asked */
byte votes;                    /* members that confirmed the current question */
byte toldAge = OLD;            /* age that member 2 told in answer to it */
byte viewAge = OLD;            /* since its view was confirmed, in any way */
byte reservationAge = OLD;
bool decided;

/* the withdrawal */
byte writeRecord;              /* record by which the writer counts; NONE: not written */
byte pushed;                   /* members that hold the withdrawal */
byte acceptedAge;
bool accepted;

byte recordHeld;               /* members of the first record that hold the second */

/* A scheduler that knows and has no start under way can do no more harm. */
#define Over (knows[self] && !decided)

#define Older(a, last) if :: a < last -> a++ :: else -> a = OLD fi

/* Whether member m may confirm the view of a scheduler that counts by record r. */
#ifdef FAULT_UNREAD_CONFIRMS
#define MayConfirm(m, r) (InRecord(r, m))
#else
#define MayConfirm(m, r) (InRecord(r, m) && readRecord[m] >= r)
#endif

proctype clock() provided (!Over)
{
  do
  :: atomic {
       Older(freshAge, T);
       Older(askedAge, T);
       Older(viewAge, T);
       Older(reservationAge, TTL);
       if :: accepted -> Older(acceptedAge, T + TTL) :: else fi
     }
  od
}

/* A member's own read of the store, and its loss of memory. */
proctype member(byte m) provided (!Over)
{
  do
  :: atomic {
       knows[m] = knows[m] | storeKnows;
       record[m] = storeRecord;
       readRecord[m] = storeRecord;
       if :: m == 2 -> freshAge = 0 :: else fi;
       if :: m == self -> viewAge = 0 :: else fi
     }
  :: atomic {
       !restarted && m != self ->
       restarted = 1;
       knows[m] = 0;
       record[m] = NONE;
       readRecord[m] = NONE;
       if :: m == 2 -> freshAge = OLD :: else fi
     }
  od
}

/* The operator's withdrawal: write, push, accepted. */
proctype writer() provided (!Over)
{
  byte m;
  atomic { storeKnows = 1; writeRecord = storeRecord };
  do
  :: /* the answer was lost: read back, and count by the record read then */
     atomic { !accepted && writeRecord != storeRecord ->
              writeRecord = storeRecord; pushed = 0 }
  :: atomic {
       !accepted ->
       select (m : 0 .. MEMBERS - 1);
       if :: InRecord(writeRecord, m) -> knows[m] = 1; pushed = pushed | BIT(m)
          :: else fi;
       m = 0
     }
#ifdef FAULT_ACCEPT_WITHOUT_PUSH
  :: atomic { !accepted -> accepted = true }
#endif
  :: atomic {
       !accepted && Majority(pushed, writeRecord) &&
       (writeRecord == FIRST || recordCounts) ->
       accepted = true;
#ifdef REACH_ACCEPTED_BY_SECOND_RECORD
       assert(writeRecord == FIRST);
#endif
     }
  od
}

/* Host 0 is replaced by host 3 in the member record. */
proctype record_change() provided (!Over)
{
  byte m;
  atomic {
    storeRecord = SECOND;
#ifndef FAULT_RECORD_COUNTS_AT_ONCE
    recordCounts = false
#endif
  };
  do
  :: atomic {
       !recordCounts ->
       select (m : 0 .. 2);
       record[m] = SECOND;
       recordHeld = recordHeld | BIT(m);
       m = 0
     }
  :: atomic { !recordCounts && Majority(recordHeld, FIRST) -> recordCounts = true }
  od
}

/* One peer answers the scheduler's question. */
inline answer(m)
{
  if
  :: knows[m] && !knows[self] -> knows[self] = 1
  :: !knows[m] && record[m] > record[self] ->
     record[self] = record[m]; votes = 0
  :: else ->
     if :: MayConfirm(m, record[self]) -> votes = votes | BIT(m) :: else fi;
     if :: m == 2 && !knows[m] -> toldAge = freshAge :: else fi
  fi
}

/* The rule of the majority. */
#ifdef FAULT_STORE_ONLY
#define ConfirmedBy(set, r) (false)
#else
#define ConfirmedBy(set, r) (Majority(set, r))
#endif

#define Sum(a, b) ((a == OLD || b == OLD || a + b > T) -> OLD : a + b)

proctype scheduler() provided (!Over)
{
  byte m;
  do
  :: /* ask all peers; the age of what they confirm counts from here */
     atomic { askedAge > 0 -> askedAge = 0; votes = 0; toldAge = OLD }
  :: atomic {
       askedAge <= T ->
       select (m : 0 .. MEMBERS - 1);
       answer(m);
       m = 0
     }
  :: /* a peer's view is fresh */
     atomic {
       !knows[self] && Sum(askedAge, toldAge) < viewAge ->
       viewAge = Sum(askedAge, toldAge)
     }
  :: /* a majority of the record holds nothing newer */
     atomic {
       !knows[self] && readRecord[self] != NONE && ConfirmedBy(votes, record[self]) &&
       askedAge < viewAge ->
#ifdef FAULT_AGE_FROM_ANSWER
       viewAge = 0
#else
       viewAge = askedAge
#endif
#ifdef REACH_CONFIRMED_BY_MAJORITY
       ; assert(false)
#endif
     }
#ifdef FAULT_CHECK_BEFORE_RESERVE
  :: atomic { !knows[self] && viewAge <= T -> decided = true }
  :: atomic { reservationAge > 0 -> reservationAge = 0 }
#else
  :: /* reserve, or renew before the check */
     atomic { reservationAge > 0 -> reservationAge = 0; decided = false }
#ifdef FAULT_RENEW_AFTER_CHECK
  :: atomic { reservationAge > 0 && reservationAge <= TTL -> reservationAge = 0 }
#endif
  :: /* the check follows the last wait */
     atomic { reservationAge <= TTL && !knows[self] && viewAge <= T -> decided = true }
#endif
  :: /* the start reaches the worker, perhaps late */
     atomic {
       decided ->
       if
#ifdef FAULT_NO_FENCE
       :: true ->
#else
       :: reservationAge <= TTL ->
#endif
          /* LateStart */
          assert(!accepted || acceptedAge <= T + TTL);
#ifdef REACH_START_AFTER_ACCEPTED
          assert(!accepted || acceptedAge < T + TTL);
#endif
       :: else
       fi;
       decided = false;
       reservationAge = OLD
     }
  od
}

/*
 * Outage: at any moment the store may go away for good, and one member with it.
 * When the others of the scheduler's record hold just this record, have read
 * the store since it was written, and know of no withdrawal, then their answers
 * to one question must confirm the view. Changes no state.
 */
proctype probe() provided (!Over)
{
  byte m;
  byte missing;
  byte confirming;
  do
  :: atomic {
       readRecord[self] != NONE && !knows[self] ->
       select (missing : 0 .. MEMBERS - 1);
       for (m : 0 .. MEMBERS - 1) {
         if
         :: m == missing || !InRecord(record[self], m) -> skip
         :: else ->
            if
            :: knows[m] || record[m] != record[self] || readRecord[m] != record[self] -> break
            :: else ->
               if :: MayConfirm(m, record[self]) -> confirming = confirming | BIT(m)
                  :: else fi
            fi
         fi
       };
       assert(m <= MEMBERS - 1 || ConfirmedBy(confirming, record[self]));
       m = 0; missing = 0; confirming = 0
     }
  od
}

init {
  byte m;
  atomic {
    for (m : 0 .. 2) { record[m] = FIRST; readRecord[m] = FIRST };
    if :: self = 0 :: self = 1 :: self = 3 fi;  /* leaves, stays, is added */
    run clock();
    for (m : 0 .. 3) { run member(m) };
    run writer();
    run record_change();
    run scheduler();
    run probe()
  }
}

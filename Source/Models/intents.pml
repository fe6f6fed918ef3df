/* At-most-once execution of one idempotency key by two routers.
 *
 * Attempts 0 and 2 belong to router 0, attempt 1 to router 1. Intents and
 * voids land late, twice or never, and answers of appends are lost. A router
 * may crash at any time; what it has dispatched runs. A caller that was told
 * "not run" may try again through any router.
 *
 * Invariants: the key is executed at most once; an attempt that was reported
 * as not run is never executed; a verdict never changes from lost or voided
 * back to valid. Macros remove one rule each; see scripts/check-models.
 */
#define ATTEMPTS 3
#define NO_ATTEMPT 3

#ifdef ANY_INTENT_VALID
#define IS_FREE true
#else
#define IS_FREE (valid == NO_ATTEMPT)
#endif
#ifdef LATER_COPIES_COUNT
#define IS_FIRST(a) (valid != a)
#else
#define IS_FIRST(a) (!seen[a])
#endif
#ifdef NO_TOMBSTONE
#define IS_BURIED(a) false
#else
#define IS_BURIED(a) voided[a]
#endif
#ifdef DISPATCHES_UNREAD
#define MAY_DISPATCH(a) (intentSent[a] || seen[a])
#else
#define MAY_DISPATCH(a) (valid == a)
#endif
#ifdef DISPATCHES_GIVEN_UP
#define IS_OPEN(a) true
#else
#define IS_OPEN(a) (!givenUp[a])
#endif
#ifdef DISPATCHES_AGAIN
#define IS_UNSENT(a) (executed < 2)
#else
#define IS_UNSENT(a) (!dispatched[a])
#endif
#ifdef VOIDS_AFTER_DISPATCH
#define MAY_GIVE_UP(a) true
#else
#define MAY_GIVE_UP(a) (!dispatched[a])
#endif

/* Folded state. */
byte valid = NO_ATTEMPT;
bool seen[ATTEMPTS];   /* An intent of the attempt has been folded. */
bool voided[ATTEMPTS]; /* A void of the attempt has been folded. */
bool lost[ATTEMPTS];

/* Records under way. */
bool intentSent[ATTEMPTS];
bool voidSent[ATTEMPTS];

/* Routers. */
bool tried[ATTEMPTS];
bool givenUp[ATTEMPTS];
bool dispatched[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];
bool crashed[2];
byte executed = 0;

inline landIntent(a) {
  atomic {
    intentSent[a] ->
    if
    :: IS_FIRST(a) && !IS_BURIED(a) && IS_FREE ->
      assert(!lost[a] && !(voided[a] && seen[a]));
      valid = a
    :: IS_FIRST(a) && !IS_BURIED(a) && !IS_FREE -> lost[a] = true
    :: else
    fi;
    seen[a] = true;
    /* A void that landed first holds the intent back for ever. */
    assert(!(voided[a] && valid == a));
    if
    :: intentSent[a] = false
    :: skip /* Another copy is under way. */
    fi
  }
}

inline landVoid(a) {
  atomic {
    voidSent[a] ->
    voided[a] = true;
    if
    :: valid == a -> valid = NO_ATTEMPT
    :: else
    fi;
    if
    :: voidSent[a] = false
    :: skip
    fi
  }
}

active proctype Log() {
  do
  :: landIntent(0)
  :: landIntent(1)
  :: landIntent(2)
  :: landVoid(0)
  :: landVoid(1)
  :: landVoid(2)
  od
}

/* The steps of a router for one of its attempts. What it reads may be old:
 * a record that lands after the reading is the same as one that lands later.
 */
proctype Attempt(byte me; byte router) {
  bool maySend;
  do
  /* Appends the intent; the answer may be lost, so it is never repeated. */
  :: atomic { !crashed[router] && !tried[me] -> tried[me] = true; intentSent[me] = true }
  /* Reads the log up to the intent. */
  :: atomic {
      !crashed[router] && tried[me] && !maySend && MAY_DISPATCH(me) ->
      maySend = true
    }
  /* Dispatches, which may be long after the reading. */
  :: atomic {
      !crashed[router] && maySend && IS_OPEN(me) && IS_UNSENT(me) ->
      dispatched[me] = true;
      executed++;
      assert(executed <= 1);
      assert(!reportedNotRun[me])
    }
  /* Gives the attempt up and tells the caller that it was not run. */
  :: atomic {
      !crashed[router] && tried[me] && !givenUp[me] && MAY_GIVE_UP(me) ->
      givenUp[me] = true;
      voidSent[me] = true;
      reportedNotRun[me] = true;
      assert(!dispatched[me])
    }
  /* Crashes; whatever runs goes on. */
  :: atomic { !crashed[router] -> crashed[router] = true }
  :: crashed[router] -> break
  od
}

init {
  atomic { run Attempt(0, 0); run Attempt(1, 1); run Attempt(2, 0) }
}

/* At-most-once execution of requests with one idempotency key by two routers.
 *
 * Attempts 0 and 2 belong to router 0, attempt 1 to router 1. Intent and void
 * records may be appended late, twice or never, and replies to appends may be
 * lost. A router may crash at any time; the requests that it has dispatched
 * keep running. A caller that was told that its request did not run may retry
 * through any router.
 *
 * Invariants: at most one attempt is executed; an attempt that was reported as
 * not run is never executed; an attempt that is lost or voided never becomes
 * valid again. Each macro below disables one rule; see scripts/check-models.
 */
#define ATTEMPTS 3
#define NO_ATTEMPT 3

#ifdef ANY_INTENT_VALID
#define NO_ATTEMPT_IS_VALID true
#else
#define NO_ATTEMPT_IS_VALID (validAttempt == NO_ATTEMPT)
#endif
#ifdef LATER_COPIES_COUNT
#define IS_FIRST(a) (validAttempt != a)
#else
#define IS_FIRST(a) (!intentApplied[a])
#endif
#ifdef NO_TOMBSTONE
#define IS_VOIDED(a) false
#else
#define IS_VOIDED(a) voided[a]
#endif
#ifdef DISPATCHES_UNREAD
#define MAY_DISPATCH(a) (intentInTransit[a] || intentApplied[a])
#else
#define MAY_DISPATCH(a) (validAttempt == a)
#endif
#ifdef DISPATCHES_GIVEN_UP
#define IS_NOT_GIVEN_UP(a) true
#else
#define IS_NOT_GIVEN_UP(a) (!givenUp[a])
#endif
#ifdef DISPATCHES_AGAIN
#define IS_NOT_DISPATCHED(a) (executionCount < 2)
#else
#define IS_NOT_DISPATCHED(a) (!dispatched[a])
#endif
#ifdef VOIDS_AFTER_DISPATCH
#define MAY_GIVE_UP(a) true
#else
#define MAY_GIVE_UP(a) (!dispatched[a])
#endif

/* State that results from the log. */
byte validAttempt = NO_ATTEMPT;
bool intentApplied[ATTEMPTS]; /* An intent of the attempt has been applied. */
bool voided[ATTEMPTS];        /* A void of the attempt has been applied. */
bool lost[ATTEMPTS];          /* Another attempt was valid first. */

/* Appends in transit. */
bool intentInTransit[ATTEMPTS];
bool voidInTransit[ATTEMPTS];

/* Routers. */
bool intentRequested[ATTEMPTS];
bool givenUp[ATTEMPTS];
bool dispatched[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];
bool crashed[2];
byte executionCount = 0;

inline appendIntent(a) {
  atomic {
    intentInTransit[a] ->
    if
    :: IS_FIRST(a) && !IS_VOIDED(a) && NO_ATTEMPT_IS_VALID ->
      assert(!lost[a] && !(voided[a] && intentApplied[a]));
      validAttempt = a
    :: IS_FIRST(a) && !IS_VOIDED(a) && !NO_ATTEMPT_IS_VALID -> lost[a] = true
    :: else
    fi;
    intentApplied[a] = true;
    /* An intent that follows its void in the log never becomes valid. */
    assert(!(voided[a] && validAttempt == a));
    if
    :: intentInTransit[a] = false
    :: skip /* A duplicate is still in transit. */
    fi
  }
}

inline appendVoid(a) {
  atomic {
    voidInTransit[a] ->
    voided[a] = true;
    if
    :: validAttempt == a -> validAttempt = NO_ATTEMPT
    :: else
    fi;
    if
    :: voidInTransit[a] = false
    :: skip /* A duplicate is still in transit. */
    fi
  }
}

active proctype Log() {
  do
  :: appendIntent(0)
  :: appendIntent(1)
  :: appendIntent(2)
  :: appendVoid(0)
  :: appendVoid(1)
  :: appendVoid(2)
  od
}

/* The steps of a router for one of its attempts. Reading the log may return an
 * old state; this is modelled by records that are appended after the read.
 */
proctype Attempt(byte self; byte router) {
  bool dispatchAllowed;
  do
  /* Appends the intent. The append is never repeated, because a lost reply
   * does not show whether it took effect. */
  :: atomic {
      !crashed[router] && !intentRequested[self] ->
      intentRequested[self] = true;
      intentInTransit[self] = true
    }
  /* Reads the log up to the intent. */
  :: atomic {
      !crashed[router] && intentRequested[self] && !dispatchAllowed &&
      MAY_DISPATCH(self) ->
      dispatchAllowed = true
    }
  /* Dispatches the attempt, possibly long after the read. */
  :: atomic {
      !crashed[router] && dispatchAllowed && IS_NOT_GIVEN_UP(self) &&
      IS_NOT_DISPATCHED(self) ->
      dispatched[self] = true;
      executionCount++;
      assert(executionCount <= 1);
      assert(!reportedNotRun[self])
    }
  /* Gives up the attempt and tells the caller that it was not run. */
  :: atomic {
      !crashed[router] && intentRequested[self] && !givenUp[self] &&
      MAY_GIVE_UP(self) ->
      givenUp[self] = true;
      voidInTransit[self] = true;
      reportedNotRun[self] = true;
      assert(!dispatched[self])
    }
  /* Crashes. Dispatched requests keep running. */
  :: atomic { !crashed[router] -> crashed[router] = true }
  :: crashed[router] -> break
  od
}

init {
  atomic { run Attempt(0, 0); run Attempt(1, 1); run Attempt(2, 0) }
}

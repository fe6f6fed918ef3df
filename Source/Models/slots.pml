/* A model with a single replica slot, which moves between two endpoints.
 *
 * Controllers 0 and 1 take over endpoint 0 from each other after the lease of
 * its owner has lapsed; controller 1 always owns endpoint 1. Grants and
 * releases may be appended late, twice or never. Each controller has at most
 * one order in transit, for any time. Invariant: at most one replica is loaded.
 *
 * FENCES: whether endpoint 0 rejects old tokens. Each other macro disables one
 * rule; see scripts/check-models.
 */
#ifndef FENCES
#define FENCES 1
#endif
#ifdef IGNORES_OWNERSHIP
#define IS_OWNER(c, e) (owner[e] == c)
#else
#define IS_OWNER(c, e) (owner[e] == c && token[e] == recordOwnership[c])
#endif
#ifdef IGNORES_PREVIOUS
#define SLOT_IS_UNCHANGED(c) true
#else
#define SLOT_IS_UNCHANGED(c) (slotOffset == recordPrevious[c])
#endif
#ifdef MOVES_ALWAYS
#define MAY_RELEASE(c, e) true
#else
/* A delayed order of a lapsed owner could load the replica again. */
#define MAY_RELEASE(c, e) (FENCES || e == 1 || !hasLapsed[1 - c] || gone[1 - c])
#endif
#ifdef RELEASES_UNCONFIRMED
#define IS_UNLOADED(c, e) (!loaded[e] || orderInTransit[c] == unload)
#else
/* The inventory is read again, so that it shows the effect of delayed orders of
 * a lapsed owner that is now known to be gone. */
#define IS_UNLOADED(c, e) (!loaded[e] && orderInTransit[c] == none)
#endif
#ifdef LOADS_AFTER_RELEASE
#define MAY_LOAD(c) true
#else
#define MAY_LOAD(c) \
  (releasedOffset[c] != viewSlotOffset[c] || releasedOffset[c] == 0)
#endif
#ifdef ACTS_ON_APPEND
#define HOLDS_SLOT(c, e) (viewSlotEndpoint[c] == e || grantSentTo[c] == e)
#else
#define HOLDS_SLOT(c, e) (viewSlotEndpoint[c] == e)
#endif
#ifdef NO_FENCE
#define ASSERTS_FENCE 0
#else
#define ASSERTS_FENCE FENCES
#endif

#define HAS_FENCED(c) \
  (currentEndpoint[c] == 1 || !ASSERTS_FENCE || ownToken[c] == highestToken)

#define UNASSIGNED 2
#define MAX_OFFSET 9

mtype = { none, load, unload, grant, release };

/* State that results from the log. */
byte lastOffset = 4;
byte owner[2];
byte token[2];
bool hasLapsed[2];
byte slotEndpoint = UNASSIGNED;
byte slotOffset = 0;

bool loaded[2];
byte highestToken = 0;
bool gone[2];

/* Record in transit to the log, one per controller. */
mtype recordInTransit[2] = none;
byte recordEndpoint[2];
byte recordPrevious[2];
byte recordOwnership[2];

/* Order in transit, one per controller, its target and its token. */
mtype orderInTransit[2] = none;
byte orderEndpoint[2];
byte orderToken[2];

/* Each controller's view of the slot, the endpoint that it currently works on,
 * and whether it assumes that the replica is loaded there. */
byte viewSlotEndpoint[2] = UNASSIGNED;
byte viewSlotOffset[2];
byte currentEndpoint[2];
byte ownToken[2];
bool assumedLoaded[2];
/* Slot offset for which a release was sent; the slot is no longer used. */
byte releasedOffset[2];
byte grantSentTo[2] = UNASSIGNED;

inline appendRecord(c) {
  atomic {
    recordInTransit[c] != none && lastOffset < MAX_OFFSET ->
    if
    :: recordInTransit[c] == grant && slotEndpoint == UNASSIGNED &&
       SLOT_IS_UNCHANGED(c) && IS_OWNER(c, recordEndpoint[c]) ->
      lastOffset++; slotEndpoint = recordEndpoint[c]; slotOffset = lastOffset
#ifdef IGNORES_PREVIOUS
    :: recordInTransit[c] == grant && slotEndpoint != UNASSIGNED &&
       IS_OWNER(c, recordEndpoint[c]) ->
      lastOffset++; slotEndpoint = recordEndpoint[c]; slotOffset = lastOffset
#endif
    :: recordInTransit[c] == release && slotEndpoint == recordEndpoint[c] &&
       SLOT_IS_UNCHANGED(c) && IS_OWNER(c, recordEndpoint[c]) ->
      lastOffset++; slotEndpoint = UNASSIGNED; slotOffset = lastOffset
    :: else
    fi;
    if
    :: recordInTransit[c] = none
    :: skip /* A duplicate is still in transit. */
    fi
  }
}

/* The endpoint executes an order, and the reply reaches its author. */
inline deliverOrder(c) {
  atomic {
    orderInTransit[c] != none ->
    if
    :: FENCES && orderEndpoint[c] == 0 && orderToken[c] < highestToken
    :: else ->
      if
      :: orderEndpoint[c] == 0 && orderToken[c] > highestToken ->
        highestToken = orderToken[c]
      :: else
      fi;
      loaded[orderEndpoint[c]] = (orderInTransit[c] == load);
      if
      :: orderEndpoint[c] == currentEndpoint[c] && ownToken[c] > 0 ->
        assumedLoaded[c] = (orderInTransit[c] == load)
      :: else
      fi
    fi;
    orderInTransit[c] = none;
    assert(!(loaded[0] && loaded[1]))
  }
}

active proctype Environment() {
  do
  :: appendRecord(0)
  :: appendRecord(1)
  :: deliverOrder(0)
  :: deliverOrder(1)
  /* The lease of the owner of endpoint 0 lapses and the other claims it. */
  :: atomic {
      lastOffset < MAX_OFFSET && !gone[1 - owner[0]] ->
      lastOffset++;
      hasLapsed[owner[0]] = true;
      owner[0] = 1 - owner[0];
      hasLapsed[owner[0]] = false;
      token[0] = lastOffset
    }
  /* Host 0 is gone, and so are its record and order in transit. */
  :: atomic {
      !gone[0] && !gone[1] && owner[0] == 1 ->
      gone[0] = true;
      orderInTransit[0] = none;
      recordInTransit[0] = none;
      ownToken[0] = 0
    }
  od
}

proctype Controller(byte self) {
  do
  /* Reads the log to its end. */
  :: atomic {
      !gone[self] ->
      viewSlotEndpoint[self] = slotEndpoint; viewSlotOffset[self] = slotOffset;
      if
      :: ownToken[self] != 0 &&
         (owner[currentEndpoint[self]] != self ||
          token[currentEndpoint[self]] != ownToken[self]) ->
        ownToken[self] = 0; assumedLoaded[self] = false
      :: else
      fi
    }
  /* Starts to work on an endpoint that it owns. It may not have an order in
   * transit. */
  :: atomic {
      !gone[self] && orderInTransit[self] == none &&
      (owner[0] == self || self == 1) && ownToken[self] == 0 ->
      if
      :: owner[0] == self -> currentEndpoint[self] = 0
      :: self == 1 -> currentEndpoint[self] = 1
      fi;
      ownToken[self] = token[currentEndpoint[self]];
      viewSlotEndpoint[self] = slotEndpoint; viewSlotOffset[self] = slotOffset
    }
  /* Stops working on the endpoint, so that it can work on the other one. */
  :: atomic {
      self == 1 && ownToken[self] != 0 && orderInTransit[self] == none &&
      recordInTransit[self] == none ->
      ownToken[self] = 0; assumedLoaded[self] = false
    }
  /* Fences the endpoint and reads its inventory, then orders a load or unload,
   * or requests the slot. */
  :: atomic {
      !gone[self] && ownToken[self] != 0 && orderInTransit[self] == none &&
      (currentEndpoint[self] == 1 || !ASSERTS_FENCE ||
       ownToken[self] >= highestToken) ->
      if
      :: currentEndpoint[self] == 0 && ASSERTS_FENCE ->
        highestToken = ownToken[self]
      :: else
      fi;
      assumedLoaded[self] = loaded[currentEndpoint[self]];
      if
      :: HOLDS_SLOT(self, currentEndpoint[self]) && MAY_LOAD(self) &&
         !assumedLoaded[self] ->
        orderInTransit[self] = load;
        orderEndpoint[self] = currentEndpoint[self];
        orderToken[self] = ownToken[self]
      :: assumedLoaded[self] ->
        orderInTransit[self] = unload;
        orderEndpoint[self] = currentEndpoint[self];
        orderToken[self] = ownToken[self]
      :: recordInTransit[self] == none &&
         viewSlotEndpoint[self] == UNASSIGNED ->
        recordInTransit[self] = grant;
        recordEndpoint[self] = currentEndpoint[self];
        recordPrevious[self] = viewSlotOffset[self];
        recordOwnership[self] = ownToken[self];
        grantSentTo[self] = currentEndpoint[self]
      :: else
      fi
    }
  /* Releases the slot. */
  :: atomic {
      !gone[self] && ownToken[self] != 0 && recordInTransit[self] == none &&
      viewSlotEndpoint[self] == currentEndpoint[self] &&
      MAY_RELEASE(self, currentEndpoint[self]) &&
      IS_UNLOADED(self, currentEndpoint[self]) && HAS_FENCED(self) ->
      recordInTransit[self] = release;
      recordEndpoint[self] = currentEndpoint[self];
      recordPrevious[self] = viewSlotOffset[self];
      recordOwnership[self] = ownToken[self];
      releasedOffset[self] = viewSlotOffset[self];
      grantSentTo[self] = UNASSIGNED
    }
  od
}

init {
  atomic {
    owner[0] = 0; owner[1] = 1;
    token[0] = 3; token[1] = 4;
    run Controller(0); run Controller(1)
  }
}

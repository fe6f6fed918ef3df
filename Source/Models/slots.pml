/* The one replica slot of a model, moved between two endpoints.
 *
 * Controllers 0 and 1 take endpoint 0 from each other after the lease of the
 * owner has lapsed; controller 1 owns endpoint 1 throughout. Grants and
 * releases land late, twice or never. Each controller has at most one order
 * under way at an endpoint, for any time. The invariant is that no more than
 * one replica is loaded.
 *
 * FENCES says whether endpoint 0 refuses old tokens. Other macros remove one
 * rule each; see scripts/check-models.
 */
#ifndef FENCES
#define FENCES 1
#endif
#ifdef IGNORES_OWNERSHIP
#define OWNS(c, e) (owner[e] == c)
#else
#define OWNS(c, e) (owner[e] == c && token[e] == sentOwnership[c])
#endif
#ifdef IGNORES_PREVIOUS
#define IS_CURRENT(c) true
#else
#define IS_CURRENT(c) (slotOffset == sentPrevious[c])
#endif
#ifdef MOVES_ALWAYS
#define MAY_MOVE(c, e) true
#else
/* A late order of a lapsed owner could load the replica again. */
#define MAY_MOVE(c, e) (FENCES || e == 1 || !lapsed[1 - c] || gone[1 - c])
#endif
#ifdef RELEASES_UNCONFIRMED
#define IS_UNLOADED(c, e) (!loaded[e] || order[c] == unload)
#else
/* The inventory is read again, so that it shows late orders of a lapsed owner
 * that is known to be gone by now. */
#define IS_UNLOADED(c, e) (!loaded[e] && order[c] == none)
#endif
#ifdef LOADS_AFTER_RELEASE
#define MAY_LOAD(c) true
#else
#define MAY_LOAD(c) (releaseOf[c] != vOffset[c] || releaseOf[c] == 0)
#endif
#ifdef ACTS_ON_APPEND
#define HOLDS(c, e) (vSlot[c] == e || sentGrantTo[c] == e)
#else
#define HOLDS(c, e) (vSlot[c] == e)
#endif
#ifdef NO_FENCE
#define ASSERTS_FENCE 0
#else
#define ASSERTS_FENCE FENCES
#endif

#define HAS_FENCED(c) (at[c] == 1 || !ASSERTS_FENCE || myToken[c] == highestToken)

#define NOWHERE 2
#define LAST_OFFSET 9

mtype = { none, load, unload, grant, release };

/* Folded state. */
byte head = 4;
byte owner[2];
byte token[2];
bool lapsed[2];
byte slot = NOWHERE;
byte slotOffset = 0;

bool loaded[2];
byte highestToken = 0;
bool gone[2];

/* Record under way, one for each controller. */
mtype sent[2] = none;
byte sentEndpoint[2];
byte sentPrevious[2];
byte sentOwnership[2];

/* Order under way, one for each controller, and its target. */
mtype order[2] = none;
byte orderAt[2];
byte orderToken[2];

/* View and account of each controller for the endpoint that it works on. */
byte vSlot[2] = NOWHERE;
byte vOffset[2];
byte at[2];
byte myToken[2];
bool believes[2];
/* Slot offset whose release was sent; the slot is not used any more. */
byte releaseOf[2];
byte sentGrantTo[2] = NOWHERE;

inline land(c) {
  atomic {
    sent[c] != none && head < LAST_OFFSET ->
    if
    :: sent[c] == grant && slot == NOWHERE && IS_CURRENT(c) &&
       OWNS(c, sentEndpoint[c]) ->
      head++; slot = sentEndpoint[c]; slotOffset = head
#ifdef IGNORES_PREVIOUS
    :: sent[c] == grant && slot != NOWHERE && OWNS(c, sentEndpoint[c]) ->
      head++; slot = sentEndpoint[c]; slotOffset = head
#endif
    :: sent[c] == release && slot == sentEndpoint[c] && IS_CURRENT(c) &&
       OWNS(c, sentEndpoint[c]) ->
      head++; slot = NOWHERE; slotOffset = head
    :: else
    fi;
    if
    :: sent[c] = none
    :: skip /* Another copy is under way. */
    fi
  }
}

/* An order takes effect, and its answer reaches the author. */
inline deliver(c) {
  atomic {
    order[c] != none ->
    if
    :: FENCES && orderAt[c] == 0 && orderToken[c] < highestToken
    :: else ->
      if
      :: orderAt[c] == 0 && orderToken[c] > highestToken ->
        highestToken = orderToken[c]
      :: else
      fi;
      loaded[orderAt[c]] = (order[c] == load);
      if
      :: orderAt[c] == at[c] && myToken[c] > 0 ->
        believes[c] = (order[c] == load)
      :: else
      fi
    fi;
    order[c] = none;
    assert(!(loaded[0] && loaded[1]))
  }
}

active proctype Environment() {
  do
  :: land(0)
  :: land(1)
  :: deliver(0)
  :: deliver(1)
  /* The lease of the owner of endpoint 0 lapses and the other claims it. */
  :: atomic {
      head < LAST_OFFSET && !gone[1 - owner[0]] ->
      head++;
      lapsed[owner[0]] = true;
      owner[0] = 1 - owner[0];
      lapsed[owner[0]] = false;
      token[0] = head
    }
  /* A host is gone, with all that it had under way. */
  :: atomic {
      !gone[0] && !gone[1] && owner[0] == 1 ->
      gone[0] = true; order[0] = none; sent[0] = none; myToken[0] = 0
    }
  od
}

proctype Controller(byte me) {
  do
  /* Reads the log to its end. */
  :: atomic {
      !gone[me] ->
      vSlot[me] = slot; vOffset[me] = slotOffset;
      if
      :: myToken[me] != 0 && (owner[at[me]] != me || token[at[me]] != myToken[me]) ->
        myToken[me] = 0; believes[me] = false
      :: else
      fi
    }
  /* Starts to work on an endpoint that it owns: fences, reads the inventory.
   * An own order that is still under way counts as carried out. */
  :: atomic {
      !gone[me] && order[me] == none &&
      (owner[0] == me || me == 1) && myToken[me] == 0 ->
      if
      :: owner[0] == me -> at[me] = 0
      :: me == 1 -> at[me] = 1
      fi;
      myToken[me] = token[at[me]];
      vSlot[me] = slot; vOffset[me] = slotOffset
    }
  /* Leaves it for the other one. */
  :: atomic {
      me == 1 && myToken[me] != 0 && order[me] == none && sent[me] == none ->
      myToken[me] = 0; believes[me] = false
    }
  :: atomic {
      !gone[me] && myToken[me] != 0 && order[me] == none &&
      (at[me] == 1 || !ASSERTS_FENCE || myToken[me] >= highestToken) ->
      if
      :: at[me] == 0 && ASSERTS_FENCE -> highestToken = myToken[me]
      :: else
      fi;
      believes[me] = loaded[at[me]];
      /* Works with this account. */
      if
      :: HOLDS(me, at[me]) && MAY_LOAD(me) && !believes[me] ->
        order[me] = load; orderAt[me] = at[me]; orderToken[me] = myToken[me]
      :: believes[me] ->
        order[me] = unload; orderAt[me] = at[me]; orderToken[me] = myToken[me]
      :: sent[me] == none && vSlot[me] == NOWHERE ->
        sent[me] = grant; sentEndpoint[me] = at[me];
        sentPrevious[me] = vOffset[me]; sentOwnership[me] = myToken[me];
        sentGrantTo[me] = at[me]
      :: else
      fi
    }
  :: atomic {
      !gone[me] && myToken[me] != 0 && sent[me] == none &&
      vSlot[me] == at[me] && MAY_MOVE(me, at[me]) &&
      IS_UNLOADED(me, at[me]) && HAS_FENCED(me) ->
      sent[me] = release; sentEndpoint[me] = at[me];
      sentPrevious[me] = vOffset[me]; sentOwnership[me] = myToken[me];
      releaseOf[me] = vOffset[me]; sentGrantTo[me] = NOWHERE
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

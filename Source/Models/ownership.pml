/* Ownership of one endpoint by two controllers, and its memory.
 *
 * Every controller acts on a view of the folded state that may be old. Claims
 * land late, twice or never, and their answers are lost. Orders stay under way
 * for any time, which covers an owner that is paused between its lease check
 * and the sending. An endpoint that fences can hold one of two models, another
 * two of three, because one place is the headroom for a late order.
 *
 * Time appears only as the promise of the leases: after a claimant has waited
 * for a renewal, no owner acts on that renewal or an earlier one.
 *
 * FENCES=1: the endpoint refuses old tokens. FENCES=0: it ignores them.
 * Other macros remove one rule each; see scripts/check-models.
 */
#ifndef FENCES
#define FENCES 1
#endif
#ifdef IGNORES_TOKENS /* The owner relies on fencing that does not happen. */
#define REFUSES 0
#else
#define REFUSES FENCES
#endif
#ifdef MANY_ORDERS
#define ORDERS 2
#else
#define ORDERS 1
#endif

#ifdef ANY_RENEWAL
#define NAMES_RENEWAL(c) true
#else
#define NAMES_RENEWAL(c) (renewal[owner] == claimSeen[c])
#endif
#ifdef LEASE_FROM_READING
#define EXTENDS_LEASE(c) true
#else
#define EXTENDS_LEASE(c) (renewal[c] > expired[c])
#endif
#ifdef NO_LEASE_CHECK
#define MAY_ORDER(c) true
#else
#define MAY_ORDER(c) (FENCES || heldOn[c] > 0)
#endif

#define NOBODY 2
#define FIRST_RENEWALS 2
#define LAST_OFFSET 6 /* Bounds the records that take effect. */
#if FENCES
#define CAPACITY 1
#define ALL_MODELS 3
#else
#define CAPACITY 2
#define ALL_MODELS 7
#endif
#define BIT(n) (1 << (n))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* Folded state. The first renewals of both controllers have been folded. */
byte head = FIRST_RENEWALS;
byte owner = NOBODY;
byte token = 0;
byte lapsed = 0;
byte renewal[2];

/* Endpoint. */
byte loaded = 0;
byte highestToken = 0;

/* Renewal on which a controller's lease is held; 0 when it is not held. */
byte heldOn[2];
/* Latest renewal for which somebody has waited; no lease is held on it. */
byte expired[2];
bool gone[2];

/* Claim under way, one for each controller. */
bool claimSent[2];
byte claimPrevious[2];
byte claimSeen[2];

/* What the owner believes is loaded, orders under way included. */
byte account[2];
byte myToken[2];
mtype = { load, unload, idle, claimed, fenced, ready };
mtype phase[2];
/* Load and unload orders under way. */
byte loading[2];
byte unloading[2];
chan orders[2] = [ORDERS] of { mtype, byte, byte };

inline takeOwnership(c, offset) {
  myToken[c] = offset;
  phase[c] = claimed;
}

/* The log takes a claim. It may keep a second copy, or lose it. */
active proctype Log() {
  byte c;
  do
  :: atomic {
      (claimSent[0] || claimSent[1]) && head < LAST_OFFSET ->
      if
      :: claimSent[0] -> c = 0
      :: claimSent[1] -> c = 1
      fi;
      if
      :: claimSent[c] = false
      :: skip /* Another copy is under way. */
      fi;
      if
      :: token == claimPrevious[c] && owner != c &&
         (owner == NOBODY || NAMES_RENEWAL(c)) ->
        if
        :: owner != NOBODY -> lapsed = lapsed | BIT(owner)
        :: else
        fi;
        lapsed = lapsed & ~BIT(c);
        owner = c;
        head++;
        token = head
      :: else
      fi;
#ifdef ACT_ON_APPEND
      takeOwnership(c, head);
#endif
      c = 0
    }
  :: atomic { claimSent[0] -> claimSent[0] = false }
  :: atomic { claimSent[1] -> claimSent[1] = false }
  od
}

/* Delivers the orders, in any order between the controllers. */
active proctype Endpoint() {
  mtype kind;
  byte models, with, c;
  do
  :: atomic {
      nempty(orders[0]) || nempty(orders[1]) ->
      if
      :: nempty(orders[0]) -> c = 0
      :: nempty(orders[1]) -> c = 1
      fi;
      orders[c]?kind, models, with;
      if
      :: REFUSES && with < highestToken -> 
        if
        :: kind == load && with == myToken[c] ->
          account[c] = account[c] & ~models
        :: else
        fi
      :: else ->
        highestToken = MAX(highestToken, with);
        if
        :: kind == load -> loaded = loaded | models
        :: else ->
          loaded = loaded & ~models;
          if
          :: with == myToken[c] -> account[c] = account[c] & ~models
          :: else
          fi
        fi
      fi;
      if
      :: kind == load -> loading[c] = loading[c] & ~models
      :: else -> unloading[c] = unloading[c] & ~models
      fi;
      assert(COUNT(loaded) <= CAPACITY);
      kind = 0; models = 0; with = 0; c = 0
    }
  od
}

proctype Controller(byte me) {
  byte vOwner = NOBODY;
  byte vToken = 0;
  byte vLapsed = 0;
  byte vRenewal = 0;     /* Last renewal of the owner that was read. */
  byte waitedFor = 0;    /* Renewal of the owner whose period has passed. */
  byte headroom = 0;
  byte models = 0;
  bool knownGone = false; /* The other controller. */
  do
  /* Reads the log to its end. */
  :: atomic {
      vOwner != owner || vToken != token || vLapsed != lapsed ||
      heldOn[me] != renewal[me] ||
      (owner != NOBODY && vRenewal != renewal[owner]) ->
      vOwner = owner; vToken = token; vLapsed = lapsed;
      if
      :: owner == NOBODY -> vRenewal = 0
      :: else -> vRenewal = renewal[owner]
      fi;
      if
      :: renewal[me] > heldOn[me] && EXTENDS_LEASE(me) -> heldOn[me] = renewal[me]
      :: else
      fi;
      if
      :: vOwner == me && vToken != myToken[me] -> takeOwnership(me, vToken)
      :: vOwner != me -> phase[me] = idle; myToken[me] = 0; account[me] = 0
      :: else
      fi
    }
  /* Renews the lease. The append counts from its sending. */
  :: atomic {
      head < LAST_OFFSET && renewal[me] <= FIRST_RENEWALS ->
      head++; renewal[me] = head
    }
  /* The lease and margin pass since the owner's last renewal was read. */
  :: atomic {
      vOwner == 1 - me && waitedFor != vRenewal ->
      waitedFor = vRenewal;
      expired[vOwner] = MAX(expired[vOwner], vRenewal);
      if
      :: heldOn[vOwner] <= expired[vOwner] -> heldOn[vOwner] = 0
      :: else
      fi
    }
  /* Claims; no second record while the fate of the first is unknown. */
  :: atomic {
      !claimSent[me] && vOwner != me &&
      (vOwner == NOBODY || waitedFor == vRenewal) ->
      claimSent[me] = true;
      claimPrevious[me] = vToken;
      claimSeen[me] = vRenewal
    }
  /* Fences, then reads the inventory. */
#ifdef INVENTORY_FIRST
  :: atomic {
      phase[me] == claimed ->
      account[me] = loaded | loading[me]; phase[me] = fenced
    }
  :: atomic {
      phase[me] == fenced && (!REFUSES || myToken[me] >= highestToken) ->
      highestToken = MAX(highestToken, myToken[me]); phase[me] = ready
    }
#else
  :: atomic {
      phase[me] == claimed && (!REFUSES || myToken[me] >= highestToken) ->
      highestToken = MAX(highestToken, myToken[me]); phase[me] = fenced
    }
  :: atomic {
      phase[me] == fenced ->
#ifdef FORGETS_OWN_ORDER
      account[me] = loaded;
#else
      account[me] = loaded | loading[me];
#endif
      phase[me] = ready
    }
#endif
  /* Learns that the other host is gone. A late order of its may have taken
   * effect since the inventory, so the inventory is read again. */
  :: atomic {
      !FENCES && gone[1 - me] && !knownGone ->
      knownGone = true;
#ifndef NO_SECOND_INVENTORY
      if
      :: phase[me] == ready -> phase[me] = fenced
      :: else
      fi
#endif
    }
  /* Orders a load or unload. A full queue means that as many orders as are
   * allowed are outstanding. */
  :: atomic {
      phase[me] == ready && nfull(orders[me]) && MAY_ORDER(me) ->
      headroom = 0;
#ifndef NO_HEADROOM
      if
      :: !FENCES && account[me] != ALL_MODELS &&
         (vLapsed & BIT(1 - me)) && !knownGone -> headroom = 1
      :: else
      fi;
#endif
      if
      :: models = 1
      :: models = 2
      :: ALL_MODELS > 3 -> models = 4
      fi;
      if
      :: !((account[me] | unloading[me]) & models) &&
         COUNT(account[me]) + 1 + headroom <= CAPACITY ->
        account[me] = account[me] | models;
        loading[me] = loading[me] | models;
        orders[me]!load, models, myToken[me]
      :: (account[me] & models) && !((loading[me] | unloading[me]) & models) ->
        unloading[me] = unloading[me] | models;
        orders[me]!unload, models, myToken[me]
      :: else
      fi;
      models = 0; headroom = 0
    }
  /* The host is gone; no order of its can arrive any more. */
  :: atomic {
      !gone[0] && !gone[1] ->
      gone[me] = true;
      heldOn[me] = 0;
      loading[me] = 0;
      unloading[me] = 0;
      phase[me] = idle;
      do
      :: nempty(orders[me]) -> orders[me]?_, _, _
      :: empty(orders[me]) -> break
      od;
      break
    }
  od
}

init {
  atomic {
    renewal[0] = 1; renewal[1] = 2;
    heldOn[0] = 1; heldOn[1] = 2;
    phase[0] = idle; phase[1] = idle;
    run Controller(0); run Controller(1)
  }
}

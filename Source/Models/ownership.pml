/* Ownership of one endpoint by two controllers, and the use of its memory.
 *
 * Each controller acts on a view of the state from the log that may be stale.
 * Claims may be appended late, twice or never, and their replies are lost.
 * Orders stay in transit for any time, which also covers an owner that is
 * paused between its lease check and the send. An endpoint that fences has
 * memory for one of two models. One that does not has memory for two of three,
 * because one place is headroom for a delayed order.
 *
 * Time is modelled only through the guarantee of the leases: once a claimant
 * has waited for a renewal to expire, no owner acts on that renewal or on an
 * earlier one.
 *
 * FENCES=1: the endpoint rejects old tokens. FENCES=0: it ignores them.
 * Each other macro disables one rule; see scripts/check-models.
 */
#ifndef FENCES
#define FENCES 1
#endif
#ifdef IGNORES_TOKENS /* The owner relies on fencing that does not work. */
#define REJECTS_OLD_TOKENS 0
#else
#define REJECTS_OLD_TOKENS FENCES
#endif
#ifdef MANY_ORDERS
#define ORDERS 2
#else
#define ORDERS 1
#endif

#ifdef ANY_RENEWAL
#define CLAIM_NAMES_RENEWAL(c) true
#else
#define CLAIM_NAMES_RENEWAL(c) (renewal[owner] == claimRenewal[c])
#endif
#ifdef LEASE_FROM_READING
#define RENEWAL_EXTENDS_LEASE(c) true
#else
#define RENEWAL_EXTENDS_LEASE(c) (renewal[c] > expiredRenewal[c])
#endif
#ifdef NO_LEASE_CHECK
#define MAY_ORDER(c) true
#else
#define MAY_ORDER(c) (FENCES || leaseRenewal[c] > 0)
#endif

#define NO_OWNER 2
#define FIRST_RENEWALS 2
#define MAX_OFFSET 6 /* Limits the number of records that take effect. */
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

/* State that results from the log. It contains the first renewals of both
 * controllers. */
byte lastOffset = FIRST_RENEWALS;
byte owner = NO_OWNER;
byte token = 0;
byte lapsedOwners = 0;
byte renewal[2];

/* Endpoint. */
byte loaded = 0;
byte highestToken = 0;

/* Renewal on which a controller's lease is based; 0 when it is not held. */
byte leaseRenewal[2];
/* Latest renewal that a claimant has waited for; no lease is based on it. */
byte expiredRenewal[2];
bool gone[2];

/* Claim in transit, one per controller. */
bool claimInTransit[2];
byte claimPrevious[2];
byte claimRenewal[2];

/* Models that the owner assumes to be loaded, including orders in transit. */
byte assumedLoaded[2];
byte ownToken[2];
mtype = { load, unload, idle, claimed, fenced, ready };
mtype phase[2];
/* Models with a load or unload order in transit. */
byte loadsInTransit[2];
byte unloadsInTransit[2];
chan orders[2] = [ORDERS] of { mtype, byte, byte };

inline takeOwnership(c, offset) {
  ownToken[c] = offset;
  phase[c] = claimed;
}

/* Appends a claim to the log. The claim may be duplicated or lost. */
active proctype Log() {
  byte c;
  do
  :: atomic {
      (claimInTransit[0] || claimInTransit[1]) && lastOffset < MAX_OFFSET ->
      if
      :: claimInTransit[0] -> c = 0
      :: claimInTransit[1] -> c = 1
      fi;
      if
      :: claimInTransit[c] = false
      :: skip /* A duplicate is still in transit. */
      fi;
      if
      :: token == claimPrevious[c] && owner != c &&
         (owner == NO_OWNER || CLAIM_NAMES_RENEWAL(c)) ->
        if
        :: owner != NO_OWNER -> lapsedOwners = lapsedOwners | BIT(owner)
        :: else
        fi;
        lapsedOwners = lapsedOwners & ~BIT(c);
        owner = c;
        lastOffset++;
        token = lastOffset
      :: else
      fi;
#ifdef ACT_ON_APPEND
      takeOwnership(c, lastOffset);
#endif
      c = 0
    }
  :: atomic { claimInTransit[0] -> claimInTransit[0] = false }
  :: atomic { claimInTransit[1] -> claimInTransit[1] = false }
  od
}

/* Executes the orders. Those of different controllers arrive in any order. */
active proctype Endpoint() {
  mtype kind;
  byte models, orderToken, c;
  do
  :: atomic {
      nempty(orders[0]) || nempty(orders[1]) ->
      if
      :: nempty(orders[0]) -> c = 0
      :: nempty(orders[1]) -> c = 1
      fi;
      orders[c]?kind, models, orderToken;
      if
      :: REJECTS_OLD_TOKENS && orderToken < highestToken ->
        if
        :: kind == load && orderToken == ownToken[c] ->
          assumedLoaded[c] = assumedLoaded[c] & ~models
        :: else
        fi
      :: else ->
        highestToken = MAX(highestToken, orderToken);
        if
        :: kind == load -> loaded = loaded | models
        :: else ->
          loaded = loaded & ~models;
          if
          :: orderToken == ownToken[c] ->
            assumedLoaded[c] = assumedLoaded[c] & ~models
          :: else
          fi
        fi
      fi;
      if
      :: kind == load -> loadsInTransit[c] = loadsInTransit[c] & ~models
      :: else -> unloadsInTransit[c] = unloadsInTransit[c] & ~models
      fi;
      assert(COUNT(loaded) <= CAPACITY);
      kind = 0; models = 0; orderToken = 0; c = 0
    }
  od
}

proctype Controller(byte self) {
  byte viewOwner = NO_OWNER;
  byte viewToken = 0;
  byte viewLapsed = 0;
  byte viewRenewal = 0;      /* Last renewal of the owner that was read. */
  byte waitedForRenewal = 0; /* Renewal of the owner whose lease has expired. */
  byte headroom = 0;
  byte models = 0;
  bool knownGone = false; /* The other controller is known to be gone. */
  do
  /* Reads the log to its end. */
  :: atomic {
      viewOwner != owner || viewToken != token || viewLapsed != lapsedOwners ||
      leaseRenewal[self] != renewal[self] ||
      (owner != NO_OWNER && viewRenewal != renewal[owner]) ->
      viewOwner = owner; viewToken = token; viewLapsed = lapsedOwners;
      if
      :: owner == NO_OWNER -> viewRenewal = 0
      :: else -> viewRenewal = renewal[owner]
      fi;
      if
      :: renewal[self] > leaseRenewal[self] && RENEWAL_EXTENDS_LEASE(self) ->
        leaseRenewal[self] = renewal[self]
      :: else
      fi;
      if
      :: viewOwner == self && viewToken != ownToken[self] ->
        takeOwnership(self, viewToken)
      :: viewOwner != self ->
        phase[self] = idle; ownToken[self] = 0; assumedLoaded[self] = 0
      :: else
      fi
    }
  /* Renews the lease, which runs from the sending of the append. */
  :: atomic {
      lastOffset < MAX_OFFSET && renewal[self] <= FIRST_RENEWALS ->
      lastOffset++; renewal[self] = lastOffset
    }
  /* The lease time and its margin pass after the owner's last renewal was
   * read. */
  :: atomic {
      viewOwner == 1 - self && waitedForRenewal != viewRenewal ->
      waitedForRenewal = viewRenewal;
      expiredRenewal[viewOwner] = MAX(expiredRenewal[viewOwner], viewRenewal);
      if
      :: leaseRenewal[viewOwner] <= expiredRenewal[viewOwner] ->
        leaseRenewal[viewOwner] = 0
      :: else
      fi
    }
  /* Claims the endpoint. Appends no second claim while the outcome of the first
   * is unknown. */
  :: atomic {
      !claimInTransit[self] && viewOwner != self &&
      (viewOwner == NO_OWNER || waitedForRenewal == viewRenewal) ->
      claimInTransit[self] = true;
      claimPrevious[self] = viewToken;
      claimRenewal[self] = viewRenewal
    }
  /* Fences the endpoint, then reads its inventory. */
#ifdef INVENTORY_FIRST
  :: atomic {
      phase[self] == claimed ->
      assumedLoaded[self] = loaded | loadsInTransit[self]; phase[self] = fenced
    }
  :: atomic {
      phase[self] == fenced &&
      (!REJECTS_OLD_TOKENS || ownToken[self] >= highestToken) ->
      highestToken = MAX(highestToken, ownToken[self]); phase[self] = ready
    }
#else
  :: atomic {
      phase[self] == claimed &&
      (!REJECTS_OLD_TOKENS || ownToken[self] >= highestToken) ->
      highestToken = MAX(highestToken, ownToken[self]); phase[self] = fenced
    }
  :: atomic {
      phase[self] == fenced ->
#ifdef FORGETS_OWN_ORDER
      assumedLoaded[self] = loaded;
#else
      assumedLoaded[self] = loaded | loadsInTransit[self];
#endif
      phase[self] = ready
    }
#endif
  /* Learns that the other host is gone. One of its delayed orders may have
   * taken effect since the inventory was read, so it is read again. */
  :: atomic {
      !FENCES && gone[1 - self] && !knownGone ->
      knownGone = true;
#ifndef NO_SECOND_INVENTORY
      if
      :: phase[self] == ready -> phase[self] = fenced
      :: else
      fi
#endif
    }
  /* Orders a load or unload. A full channel means that the maximum number of
   * orders is outstanding. */
  :: atomic {
      phase[self] == ready && nfull(orders[self]) && MAY_ORDER(self) ->
      headroom = 0;
#ifndef NO_HEADROOM
      if
      :: !FENCES && assumedLoaded[self] != ALL_MODELS &&
         (viewLapsed & BIT(1 - self)) && !knownGone -> headroom = 1
      :: else
      fi;
#endif
      if
      :: models = 1
      :: models = 2
      :: ALL_MODELS > 3 -> models = 4
      fi;
      if
      :: !((assumedLoaded[self] | unloadsInTransit[self]) & models) &&
         COUNT(assumedLoaded[self]) + 1 + headroom <= CAPACITY ->
        assumedLoaded[self] = assumedLoaded[self] | models;
        loadsInTransit[self] = loadsInTransit[self] | models;
        orders[self]!load, models, ownToken[self]
      :: (assumedLoaded[self] & models) &&
         !((loadsInTransit[self] | unloadsInTransit[self]) & models) ->
        unloadsInTransit[self] = unloadsInTransit[self] | models;
        orders[self]!unload, models, ownToken[self]
      :: else
      fi;
      models = 0; headroom = 0
    }
  /* The host is gone; its orders can no longer arrive. */
  :: atomic {
      !gone[0] && !gone[1] ->
      gone[self] = true;
      leaseRenewal[self] = 0;
      loadsInTransit[self] = 0;
      unloadsInTransit[self] = 0;
      phase[self] = idle;
      do
      :: nempty(orders[self]) -> orders[self]?_, _, _
      :: empty(orders[self]) -> break
      od;
      break
    }
  od
}

init {
  atomic {
    renewal[0] = 1; renewal[1] = 2;
    leaseRenewal[0] = 1; leaseRenewal[1] = 2;
    phase[0] = idle; phase[1] = idle;
    run Controller(0); run Controller(1)
  }
}

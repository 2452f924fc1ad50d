/*
 * The controller lease while the store is restored from an older copy: two gateways, one lease object, one restore, and
 * one upstream that receives orders.
 *
 * The store checks only the revision that a write expects. Revisions, and with them the lease's, are assigned again
 * after the restore. The store's responses carry its era, so a gateway learns of the restore with any response, however
 * late. A write that was in flight is lost in the restore, and a response arrives at once or never. Everything that
 * waits in the gateways (expiry, silence of peers) may be over at any time, so both may believe themselves holder.
 * Every acquirer knows the terms that the other gateway knows: it waits longer than peers take to exchange them.
 *
 * An order may stay in flight for any time. The upstream accepts an order only if it names the number of orders that it
 * has accepted so far; it does not compare terms. A gateway's view of the upstream may be old.
 *
 * Switches that remove a safeguard:
 *   NO_ERA_CHECK          revisions are compared whatever their eras are, and writes are sent whatever the era is
 *   ACCEPT_OTHER_ERA      an acquisition counts although it was committed in another era than its revision's
 *   NO_UPSTREAM_TERM      a holder gives orders although an upstream shows a newer term
 *   NO_ORDER_COUNT        the upstream accepts orders whatever number they name
 *   NO_PEER_TERMS         an acquirer takes a term above those that it knows itself
 *   NO_CONDITIONAL_UPDATE a write is committed whatever the lease's revision is
 *   ASSUME_COMMITTED      a write whose response was lost is assumed to be committed
 */
#define GATEWAYS 2
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_REVISION
#define MAX_REVISION 3
#endif
#ifndef MAX_ORDERS
#define MAX_ORDERS 2
#endif
#define NOBODY 2

/* The store. */
byte era;
byte revision;
byte leaseRevision;                /* 0 if there is no lease object. */
byte holder = NOBODY;
byte term;
byte leaseEra;                     /* Era of the revision that the lease's writer expected. */

/* The copy from which it is restored. */
bit copied;
byte copyRevision;
byte copyLeaseRevision;
byte copyHolder = NOBODY;
byte copyTerm;
byte copyLeaseEra;

/* State of each gateway. */
byte knownEra[GATEWAYS];           /* Newest era of which it has learned. */
byte viewEra[GATEWAYS];            /* Era of the lease's revision below. */
byte viewRevision[GATEWAYS];
byte viewHolder[GATEWAYS];
byte viewTerm[GATEWAYS];
byte readHolder[GATEWAYS];         /* What the store had at that revision; differs from the view of a superseding holder. */
byte readTerm[GATEWAYS];
byte highest[GATEWAYS];            /* Highest term that it knows. */
byte seenTerm[GATEWAYS];           /* Last seen state of the upstream. */
byte seenOrders[GATEWAYS];

/* Writes in flight. */
byte writeTerm[GATEWAYS];          /* 0 if there is none. */
byte writeExpected[GATEWAYS];
byte writeEra[GATEWAYS];           /* Era of the expected revision. The lease contains it. */
bit writeInformed[GATEWAYS];       /* The writer knew of the store's era. */

/* Orders in flight. */
byte orderTerm[GATEWAYS];          /* 0 if there is none. */
byte orderNumber[GATEWAYS];

/* The upstream. */
byte orders;
byte acceptedTerm;
byte acceptedFrom = NOBODY;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define IS_HOLDER(g) (viewHolder[g] == (g) && viewTerm[g] == highest[g] && highest[g] > 0)

#ifdef NO_ERA_CHECK
#define IS_NEWER(g) (leaseRevision > viewRevision[g])
#define IS_RESTORED(g) false
#define MAY_WRITE(g) true
#else
#define IS_NEWER(g) (era == viewEra[g] -> leaseRevision > viewRevision[g] : era > viewEra[g])
#define IS_RESTORED(g) (era > viewEra[g])
#define MAY_WRITE(g) (viewEra[g] == knownEra[g])
#endif

#ifdef NO_UPSTREAM_TERM
#define SHOWN(g) 0
#else
#define SHOWN(g) seenTerm[g]
#endif

#ifdef NO_PEER_TERMS
#define TERMS_OF_PEER(g) 0
#else
#define TERMS_OF_PEER(g) highest[1 - (g)]
#endif

#ifdef ACCEPT_OTHER_ERA
#define COUNTS true
#else
#define COUNTS (leaseEra == era)
#endif

#ifdef NO_CONDITIONAL_UPDATE
#define IS_EXPECTED(g) true
#else
#define IS_EXPECTED(g) (leaseRevision == writeExpected[g])
#endif

#ifdef NO_ORDER_COUNT
#define IS_NEXT(g) true
#else
#define IS_NEXT(g) (orderNumber[g] == orders)
#endif

inline clearWrite(g) { writeTerm[g] = 0; writeExpected[g] = 0; writeEra[g] = 0; writeInformed[g] = 0 }
inline clearOrder(g) { orderTerm[g] = 0; orderNumber[g] = 0 }

/* Records the lease that the store has. */
inline recordRead(g) {
    viewEra[g] = era;
    viewRevision[g] = leaseRevision;
    readHolder[g] = holder;
    readTerm[g] = term
}

/*
 * The gateway takes the store's lease over as its view. Its own acquisition does not count if it was committed in
 * another era than that of the revision which it expected: then the lease that it replaced may be of the same term.
 */
inline adopt(g) {
    if
    :: holder == g && !COUNTS && !(viewHolder[g] == g && viewTerm[g] == term) -> highest[g] = MAX(highest[g], term + 1)
    :: else -> highest[g] = MAX(highest[g], term)
    fi;
    viewHolder[g] = holder;
    viewTerm[g] = term
}

proctype Gateway(byte g) {
    end: do

    /* LearnEra: any other response of the store. */
    :: d_step { knownEra[g] < era -> knownEra[g] = era }

    /* LearnTerm: a peer's state. */
    :: d_step { highest[g] < highest[1 - g] -> highest[g] = highest[1 - g] }

    /* ObserveLease: a holder keeps its lease if an older copy of the store has an older one or none. */
    :: d_step {
        IS_NEWER(g) ->
        knownEra[g] = era;
        if
        :: IS_RESTORED(g) && IS_HOLDER(g) && (term < highest[g] || holder == g) -> recordRead(g)
        :: else -> recordRead(g); adopt(g)
        fi
       }

    /* Renew. */
    :: d_step {
        writeTerm[g] == 0 && IS_HOLDER(g) && MAY_WRITE(g) ->
        writeTerm[g] = viewTerm[g];
        writeExpected[g] = viewRevision[g];
        writeEra[g] = viewEra[g];
        writeInformed[g] = (knownEra[g] == era)
       }

    /* Acquire: the term is above all that gateways and upstreams have shown. */
    :: d_step {
        writeTerm[g] == 0 && !IS_HOLDER(g) && MAY_WRITE(g) &&
        MAX(MAX(highest[g], TERMS_OF_PEER(g)), SHOWN(g)) < MAX_TERM ->
        writeTerm[g] = MAX(MAX(highest[g], TERMS_OF_PEER(g)), SHOWN(g)) + 1;
        writeExpected[g] = viewRevision[g];
        writeEra[g] = viewEra[g];
        writeInformed[g] = (knownEra[g] == era)
       }

    /* CommitLease, with its response. */
    :: atomic {
        writeTerm[g] > 0 && revision < MAX_REVISION && IS_EXPECTED(g) ->
        d_step {
            /* A gateway that knows of the store's era replaces only a lease that it has read. */
            assert(!writeInformed[g] || (holder == readHolder[g] && term == readTerm[g]));
            revision++;
            leaseRevision = revision;
            holder = g;
            term = writeTerm[g];
            leaseEra = writeEra[g]
        }
        if
        :: d_step {
            /* The response arrives. */
            knownEra[g] = era;
            recordRead(g);
            adopt(g);
            clearWrite(g)
           }
        :: d_step {
            /* The response is lost: the outcome is unknown until the lease is observed. */
#ifdef ASSUME_COMMITTED
            recordRead(g);
            adopt(g);
#endif
            clearWrite(g)
           }
        fi
       }

    /* The write fails: a conflict, or the request is lost. */
    :: d_step {
        writeTerm[g] > 0 ->
#ifdef ASSUME_COMMITTED
        viewHolder[g] = g;
        viewTerm[g] = writeTerm[g];
        highest[g] = MAX(highest[g], writeTerm[g]);
#endif
        clearWrite(g)
       }

    /* ObserveUpstream: the shown term counts as one that the gateway knows. */
    :: d_step {
        seenOrders[g] < orders ->
        seenOrders[g] = orders;
        seenTerm[g] = acceptedTerm;
        highest[g] = MAX(highest[g], SHOWN(g))
       }

    /* SendOrder. */
    :: d_step {
        orderTerm[g] == 0 && IS_HOLDER(g) && SHOWN(g) <= highest[g] && orders < MAX_ORDERS ->
        orderTerm[g] = viewTerm[g];
        orderNumber[g] = seenOrders[g]
       }

    /* AcceptOrder, however late. */
    :: d_step {
        orderTerm[g] > 0 && orders < MAX_ORDERS && IS_NEXT(g) ->
        /* Accepted terms never go back. */
        assert(orderTerm[g] >= acceptedTerm);
        /* In one term, the upstream accepts the orders of one gateway. */
        assert(orderTerm[g] != acceptedTerm || acceptedFrom == g);
        orders++;
        acceptedTerm = orderTerm[g];
        acceptedFrom = g;
        clearOrder(g)
       }

    /* The order is refused or lost. */
    :: d_step { orderTerm[g] > 0 -> clearOrder(g) }
    od
}

proctype Store() {
    end: do

    /* Another object is written. */
    :: d_step { revision < MAX_REVISION -> revision++ }

    /* TakeCopy. */
    :: d_step {
        !copied ->
        copied = 1;
        copyRevision = revision;
        copyLeaseRevision = leaseRevision;
        copyHolder = holder;
        copyTerm = term;
        copyLeaseEra = leaseEra
       }

    /* Restore: everything written since the copy is gone, and so are the writes in flight. */
    :: d_step {
        copied && era == 0 ->
        era = 1;
        revision = copyRevision;
        leaseRevision = copyLeaseRevision;
        holder = copyHolder;
        term = copyTerm;
        leaseEra = copyLeaseEra;
        clearWrite(0);
        clearWrite(1);
        copyRevision = 0;
        copyLeaseRevision = 0;
        copyHolder = NOBODY;
        copyTerm = 0;
        copyLeaseEra = 0
       }
    od
}

init {
    atomic {
        viewHolder[0] = NOBODY;
        viewHolder[1] = NOBODY;
        readHolder[0] = NOBODY;
        readHolder[1] = NOBODY;
        run Gateway(0);
        run Gateway(1);
        run Store()
    }
}

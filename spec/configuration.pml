/*
 * Replication of configuration: one object, the platform that stores it, and processes that watch the platform,
 * list it again, and exchange digests with each other.
 *
 * The store's revision grows with every write to any object. A listing may lag by any number of
 * revisions. A watch delivers every change after its cursor, in order, however late. The platform may be
 * unavailable for any time: every step is optional. Any two processes may reach each other, or not. A process
 * may restart at any time without any state, and start again from the platform or from any peer.
 *
 * The guarantee covers one run of a process: a process that starts during an outage knows no more than
 * the peers that it reaches.
 *
 * Switches that remove a safeguard:
 *   NO_REVISION_CHECK      an offered object is adopted whatever revision is held
 *   NO_TOMBSTONES          a tombstone is dropped although its revision is above the covered revision
 *   NO_COVERED_CHECK       an object is adopted although its revision is already covered
 *   LAGGING_LISTING_COUNTS a listing older than the covered revision is applied as if it were current
 *   LISTING_REMOVES_NEWER  an object missing from a listing is removed although it is newer than the listing
 *   NO_COVER_EXCHANGE      peers do not send each other their covered revision
 */
#ifndef PROCESSES
#define PROCESSES 3
#endif
#define MAX_REVISION 4

/* Kinds of change that the write at a revision made. */
#define OTHER 0                    /* Changed another object. */
#define WRITTEN 1
#define REMOVED 2

byte revision;
byte change[MAX_REVISION + 1];

/* State of each process: what it holds of the object, and up to which revision it knows the complete store. */
byte held[PROCESSES];              /* Revision held, 0 if none. */
bit gone[PROCESSES];               /* What is held is a tombstone. */
byte covered[PROCESSES];
byte cursor[PROCESSES];            /* Revision after which the watch continues. */
byte knownRemoval[PROCESSES];      /* Highest revision of a removal that this run of the process knows of. */

byte p, q, s, i, found;
bool exists;

inline chooseProcess(x) { if :: x = 0 :: x = 1 :: PROCESSES > 2 -> x = PROCESSES - 1 fi }
inline choosePeer() {
    if
    :: q = (p + 1) % PROCESSES
    :: PROCESSES > 2 -> q = (p + 2) % PROCESSES
    fi
}
inline clearScratch() { p = 0; q = 0; s = 0; i = 0; found = 0; exists = false }

/* Finds the object's last change up to revision `at`: `found`, 0 if none, and whether it `exists` then. */
inline lastChange(at) {
    found = 0;
    i = 1;
    do
    :: i <= at ->
        if
        :: change[i] != OTHER -> found = i
        :: else
        fi;
        i++
    :: else -> break
    od;
    exists = (found != 0 && change[found] == WRITTEN)
}

inline put(x, r, isGone) {
    /* A held revision is never replaced by a lower one. */
    assert(r > held[x]);
    held[x] = r;
    gone[x] = isGone
}

#ifdef NO_REVISION_CHECK
#define IS_NEWER(x, r) (r != held[x])
#else
#define IS_NEWER(x, r) (r > held[x])
#endif
#ifdef NO_COVERED_CHECK
#define IS_UNKNOWN(x, r) true
#else
#define IS_UNKNOWN(x, r) (r > covered[x])
#endif

/*
 * AdoptObject: `listed` is true if the object is in a listing that is not behind the covered revision. Otherwise all
 * changes up to the covered revision are already known, whether or not anything is held of the object.
 */
inline adopt(x, r, listed) {
    if
    :: IS_NEWER(x, r) && (listed || IS_UNKNOWN(x, r)) ->
        put(x, r, 0);
        checkNotRemoved(x, r)
    :: else
    fi
}

inline checkNotRemoved(x, r) {
    /* Only a written revision is active, and no object that this process knew to be removed is adopted again. */
    assert(change[r] == WRITTEN);
    assert(r > knownRemoval[x]);
    lastChange(covered[x]);
    assert(r >= found)
}

/* AdoptRemoval. */
inline remove(x, r) {
    if
    :: r > held[x] ->
        put(x, r, 1);
        knownRemoval[x] = r
    :: else
    fi
}

/* CoverRevision: a source knows the complete store up to `r`; unless `present`, the object did not exist at `r`. */
inline cover(x, r, present) {
    if
#ifdef LISTING_REMOVES_NEWER
    :: held[x] != 0 && !gone[x] && !(present) -> put(x, r, 1); knownRemoval[x] = r
#else
    :: held[x] != 0 && !gone[x] && held[x] <= r && !(present) -> remove(x, r)
#endif
    :: else
    fi;
    covered[x] = (r > covered[x] -> r : covered[x])
}

/* `to` applies what `from` announces of the object. */
inline announce(to, from) {
    if
    :: held[from] != 0 && gone[from] -> remove(to, held[from])
    :: held[from] != 0 && !gone[from] -> adopt(to, held[from], false)
    :: else
    fi
}

/* `to` applies all that `from` holds, and its covered revision. */
inline exchange(to, from) {
    announce(to, from)
#ifndef NO_COVER_EXCHANGE
    ;
    if
    :: covered[from] != 0 -> cover(to, covered[from], (held[from] != 0 && !gone[from]))
    :: else
    fi
#endif
}

init {
    do
    /* An operator writes or removes the object, or changes another object. */
    :: atomic {
        revision < MAX_REVISION ->
        if :: s = OTHER :: s = WRITTEN :: s = REMOVED fi;
        d_step {
            lastChange(revision);
            if
            :: s == REMOVED && !exists
            :: else -> revision++; change[revision] = s
            fi;
            clearScratch()
        }
       }

    /* ApplyChange: the watch delivers the next change. */
    :: atomic {
        chooseProcess(p);
        d_step {
            if
            :: cursor[p] < revision ->
                cursor[p]++;
                s = cursor[p];
                if
                :: change[s] == WRITTEN -> adopt(p, s, false)
                :: change[s] == REMOVED -> remove(p, s)
                :: else
                fi;
                covered[p] = (s > covered[p] -> s : covered[p])
            :: else
            fi;
            clearScratch()
        }
       }

    /* ApplyListing: a listing that may lag. */
    :: atomic {
        revision > 0 -> chooseProcess(p);
        if :: s = 1 :: revision >= 2 -> s = 2 :: revision >= 3 -> s = 3 :: revision >= 4 -> s = 4 fi;
        d_step {
            lastChange(s);
            q = found;
            if
#ifndef LAGGING_LISTING_COUNTS
            :: s < covered[p] && exists -> adopt(p, q, false)
            :: s < covered[p] && !exists
#ifdef LISTING_REMOVES_NEWER
                -> cover(p, s, false)
#endif
            :: s >= covered[p] && exists -> adopt(p, q, true); cover(p, s, true)
            :: s >= covered[p] && !exists -> cover(p, s, false)
#else
            :: exists -> adopt(p, q, true); cover(p, s, true)
            :: !exists -> cover(p, s, false)
#endif
            fi;
            cursor[p] = s;
            clearScratch()
        }
       }

    /* AnnounceObject: a process forwards one object that it just adopted. */
    :: atomic {
        chooseProcess(p); choosePeer();
        d_step { announce(p, q); clearScratch() }
       }

    /* ExchangeDigest: two processes that reach each other exchange their state in both directions. */
    :: atomic {
        chooseProcess(p); choosePeer();
        d_step {
            exchange(p, q);
            exchange(q, p);
            /* Two processes agree after an exchange. */
            assert((gone[p] -> 0 : held[p]) == (gone[q] -> 0 : held[q]));
            clearScratch()
        }
       }

    /* DropTombstone: only tombstones up to the covered revision are dropped. */
    :: atomic {
        chooseProcess(p);
        d_step {
            if
#ifdef NO_TOMBSTONES
            :: gone[p] -> held[p] = 0; gone[p] = 0
#else
            :: gone[p] && held[p] <= covered[p] -> held[p] = 0; gone[p] = 0
#endif
            :: else
            fi;
            clearScratch()
        }
       }

    /* RestartProcess. */
    :: atomic {
        chooseProcess(p);
        d_step {
            held[p] = 0; gone[p] = 0; covered[p] = 0; cursor[p] = 0; knownRemoval[p] = 0;
            clearScratch()
        }
       }
    od
}

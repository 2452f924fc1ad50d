/*
 * Spread of configuration: one object, the platform that holds it, and processes that watch the platform,
 * list it anew, and exchange digests with each other.
 *
 * The store's revision grows with every write to any object. A listing may lag by any number of
 * revisions. A watch brings every change after its cursor, in order, however late. The platform may be out
 * for any time: every step is optional. Any two processes may reach each other, or not. A process may
 * restart at any time with nothing held, and start again from the platform or from any peer.
 *
 * The promise is one for each life of a process: one that starts afresh in an outage knows no more than
 * the peers that it reaches.
 *
 * Switches that remove a safeguard:
 *   NO_REVISION_CHECK      an offered object is adopted whatever is held
 *   NO_TOMBSTONES          a removal is forgotten although it is above the covered revision
 *   NO_COVERED_CHECK       an object is adopted although its revision is covered already
 *   LAGGING_LISTING_COUNTS a listing that is behind brings objects back as if it were not
 *   LISTING_REMOVES_NEWER  what a listing lacks is removed although it is newer than the listing
 *   NO_COVER_EXCHANGE      peers do not tell each other their covered revision
 */
#ifndef PROCESSES
#define PROCESSES 3
#endif
#define MAX_REVISION 4

/* What the write at a revision did. */
#define OTHER 0                    /* It changed some other object. */
#define WRITTEN 1
#define REMOVED 2

byte revision;
byte change[MAX_REVISION + 1];

/* Each process: what is held of the object, and up to where the whole store is known. */
byte held[PROCESSES];              /* Revision held, 0 when nothing is. */
bit gone[PROCESSES];               /* What is held is a removal. */
byte covered[PROCESSES];
byte cursor[PROCESSES];            /* Where the watch goes on. */
byte knownRemoval[PROCESSES];      /* Highest removal that this life of the process heard of. */

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

/* Last change of the object up to revision `at`: `found`, 0 when none, and whether it `exists` then. */
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
    /* A revision in force is never replaced by a lower one. */
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
 * AdoptObject: `listed` when a listing that is not behind holds it. Otherwise all changes up to the
 * covered revision are known already, whether or not anything is held of the object.
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
    /* Only what was written is in force, and nothing comes back that this process knew to be removed. */
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

/* CoverRevision: one that knows the whole store up to `r` does not hold the object. */
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

/* `to` takes over what `from` announces of the object. */
inline announce(to, from) {
    if
    :: held[from] != 0 && gone[from] -> remove(to, held[from])
    :: held[from] != 0 && !gone[from] -> adopt(to, held[from], false)
    :: else
    fi
}

/* `to` takes over all that `from` holds and knows. */
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
    /* An operator writes, removes, or changes another object. */
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

    /* TakeChange: the watch brings the next change. */
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

    /* TakeListing: a listing that may lag. */
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

    /* AnnounceObject: a process passes on one object that it just adopted. */
    :: atomic {
        chooseProcess(p); choosePeer();
        d_step { announce(p, q); clearScratch() }
       }

    /* ExchangeDigest: two processes that reach each other, both ways. */
    :: atomic {
        chooseProcess(p); choosePeer();
        d_step {
            exchange(p, q);
            exchange(q, p);
            /* Two processes that reach each other agree. */
            assert((gone[p] -> 0 : held[p]) == (gone[q] -> 0 : held[q]));
            clearScratch()
        }
       }

    /* DropTombstone: only up to the covered revision. */
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

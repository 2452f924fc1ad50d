/*
 * Claims on the VMs of one availability zone. They stand in the zone ledger, which changes only by conditional update.
 *
 * A controller is identified by the fencing token of the zone lease that it acquired. A holder that was
 * paused does not notice that its lease expired, so every holder, current or former, may act at any time.
 * A write may stay in flight for any time, also after its writer abandoned it. A lost response is modelled
 * as a write whose writer reads the ledger again and continues from the ledger's current state.
 *
 * Orders: once a claim or release is committed, its order may reach the engine at any later time, any
 * number of times. This covers every late or repeated order of a former lease holder. Engines ignore
 * fencing tokens in this model: since an order may also never arrive, this includes every behaviour of
 * an engine that checks them.
 *
 * Switches that remove a safeguard:
 *   NO_CONDITIONAL_UPDATE  a write is committed whatever the ledger's revision is
 *   ASSUME_COMMITTED       a write whose response was lost is assumed to be committed, and its order is sent
 *   NO_FENCE_CHECK         a holder does not compare its fencing token with the ledger's
 *   FREE_UNSEEN            a VM is freed without having been observed empty
 *   EARLY_OBSERVATION      an observation from before the release counts as "observed empty"
 */
#define VMS 3
#define GROUPS 2
#define MEMBERS 2
#ifndef MAX_EPOCH
#define MAX_EPOCH 3
#endif
#define MAX_FENCE 2
#ifndef WRITES
#define WRITES 2
#endif

#define IDLE 0
#define CLAIM 1
#define RELEASE 2
#define FREE 3

#define HAS(mask, vm) (((mask) >> (vm)) & 1)

/* The zone ledger. */
byte lastEpoch;
byte ledgerFence;
byte groupMask[GROUPS];
byte groupEpoch[GROUPS];
byte releasing[VMS];               /* Epoch of the claim that is being released, 0 if none. */
byte formation[MAX_EPOCH + 1];     /* Members named by the claim of each epoch. */
byte released[MAX_EPOCH + 1];      /* VMs whose release from each epoch is committed. */

byte leaseFence;                   /* Fencing token issued last. */

/* Writes in flight. */
byte writeKind[WRITES];
byte writeGroup[WRITES];
byte writeMask[WRITES];
byte writeEpoch[WRITES];
byte writeFence[WRITES];
bit writeFresh[WRITES];            /* The ledger is still at the revision that the writer read. */

/* By fencing token and VM: epoch of the claim that the VM was observed to have left. */
byte seenEmpty[6];
#define SEEN(fence, vm) seenEmpty[((fence) - 1) * VMS + (vm)]

/* Engines. */
byte loaded[VMS];                  /* Epoch of the claim that the engine has loaded, 0 when empty. */
bit hasLeft[VMS];                  /* Has been outside the claim's epoch at some time since the release. */

#ifdef ASSUME_COMMITTED
byte assumed[MAX_EPOCH + 1];
#endif

byte i, vm, mask, epoch, group, fence, slot;
bool possible;

inline chooseVm() { if :: vm = 0 :: vm = 1 :: vm = 2 fi }
inline chooseMask() { if :: mask = 3 :: mask = 5 :: mask = 6 fi }
#if WRITES == 1
#define ROOM (writeKind[0] == IDLE)
#define PENDING (writeKind[0] != IDLE)
inline chooseSlot() { slot = 0 }
inline choosePending() { slot = 0 }
#else
#define ROOM (writeKind[0] == IDLE || writeKind[1] == IDLE)
#define PENDING (writeKind[0] != IDLE || writeKind[1] != IDLE)
inline chooseSlot() { if :: writeKind[0] == IDLE -> slot = 0 :: writeKind[0] != IDLE -> slot = 1 fi }
inline choosePending() { if :: writeKind[0] != IDLE -> slot = 0 :: writeKind[1] != IDLE -> slot = 1 fi }
#endif
inline clearScratch() { i = 0; vm = 0; mask = 0; epoch = 0; group = 0; fence = 0; slot = 0; possible = false }

inline clearWrite(w) {
    writeKind[w] = IDLE; writeGroup[w] = 0; writeMask[w] = 0; writeEpoch[w] = 0; writeFence[w] = 0; writeFresh[w] = 0
}

inline chooseFence() {
    if
    :: fence = 1
    :: leaseFence >= 2 -> fence = 2
    fi
}

/* True if the holder of token `fence` may plan a write on the current ledger. */
#ifdef NO_FENCE_CHECK
#define FENCE_HOLDS true
#else
#define FENCE_HOLDS (fence >= ledgerFence)
#endif

inline startRelease(v, e) {
    releasing[v] = e;
    released[e] = released[e] | (1 << v);
    hasLeft[v] = (loaded[v] != e)
}

inline applyClaim(w) {
    i = 0;
    do
    :: i < VMS ->
        if
        :: HAS(groupMask[writeGroup[w]], i) && !HAS(writeMask[w], i) -> startRelease(i, groupEpoch[writeGroup[w]])
        :: else
        fi;
        i++
    :: else -> break
    od;
    groupMask[writeGroup[w]] = writeMask[w];
    groupEpoch[writeGroup[w]] = writeEpoch[w];
    lastEpoch = writeEpoch[w];
    formation[writeEpoch[w]] = writeMask[w]
#ifdef ASSUME_COMMITTED
    ;
    /* A (group, epoch) pair never denotes two different sets of members. */
    assert(assumed[writeEpoch[w]] == 0 || assumed[writeEpoch[w]] == writeMask[w])
#endif
}

inline applyRelease(w) {
    i = 0;
    do
    :: i < VMS ->
        if
        :: HAS(groupMask[writeGroup[w]], i) -> startRelease(i, groupEpoch[writeGroup[w]])
        :: else
        fi;
        i++
    :: else -> break
    od;
    groupMask[writeGroup[w]] = 0;
    groupEpoch[writeGroup[w]] = 0
}

inline applyFree(w) {
    i = 0;
    do
    :: i < VMS && HAS(writeMask[w], i) ->
#ifndef NO_CONDITIONAL_UPDATE
        /* A VM leaves the ledger only after its engine has left the claim. */
        assert(releasing[i] == 0 || hasLeft[i]);
#endif
        releasing[i] = 0;
        SEEN(1, i) = 0;
        SEEN(2, i) = 0;
        hasLeft[i] = 0;
        i++
    :: i < VMS && !HAS(writeMask[w], i) -> i++
    :: else -> break
    od
}

inline checkLedger() {
    /* No VM belongs to two groups. */
    assert((groupMask[0] & groupMask[1]) == 0);
#ifndef NO_CONDITIONAL_UPDATE
    i = 0;
    do
    :: i < VMS ->
        assert(releasing[i] == 0 || !HAS(groupMask[0] | groupMask[1], i));
        i++
    :: else -> break
    od
#endif
}

inline staleOthers(w) {
    i = 0;
    do
    :: i < WRITES -> writeFresh[i] = 0; i++
    :: else -> break
    od
}

init {
    do
    /* AcquireLease: the previous lease has expired, whether or not its holder noticed. */
    :: atomic { leaseFence < MAX_FENCE -> leaseFence++ }

    /* PlanClaim: read the ledger, choose members that are free or already in the group, and send the update. */
    :: atomic {
        leaseFence > 0 && lastEpoch < MAX_EPOCH && ROOM ->
        chooseFence(); chooseMask(); chooseSlot();
        if :: group = 0 :: group = 1 fi;
        d_step {
            if
            /* Symmetry reduction: VMs and groups are interchangeable, so the first claim is VMs 0 and 1 in group 0. */
            :: lastEpoch == 0 && !PENDING -> group = 0; mask = 3
            :: else
            fi;
            possible = FENCE_HOLDS && (groupMask[group] != mask) && (mask & groupMask[1 - group]) == 0;
            i = 0;
            do
            :: i < VMS -> possible = possible && !(HAS(mask, i) && releasing[i] != 0); i++
            :: else -> break
            od;
            if
            :: possible ->
                writeKind[slot] = CLAIM;
                writeGroup[slot] = group;
                writeMask[slot] = mask;
                writeEpoch[slot] = lastEpoch + 1;
                writeFence[slot] = fence;
                writeFresh[slot] = 1;
#ifdef ASSUME_COMMITTED
                /* The first such order determines which members the engines associate with the epoch. */
                if
                :: assumed[lastEpoch + 1] == 0 -> assumed[lastEpoch + 1] = mask
                :: else
                fi;
#endif
            :: else
            fi;
            clearScratch()
        }
       }

    /* PlanRelease: the group is to be removed, or to make room for another. */
    :: atomic {
        leaseFence > 0 && (groupMask[0] != 0 || groupMask[1] != 0) && ROOM ->
        chooseFence(); chooseSlot();
        if :: groupMask[0] != 0 -> group = 0 :: groupMask[1] != 0 -> group = 1 fi;
        d_step {
            if
            :: FENCE_HOLDS ->
                writeKind[slot] = RELEASE;
                writeGroup[slot] = group;
                writeFence[slot] = fence;
                writeFresh[slot] = 1
            :: else
            fi;
            clearScratch()
        }
       }

    /* ObserveEmpty: a holder that knows of the release observes that the engine is empty. */
    :: atomic {
        leaseFence > 0 -> chooseFence(); chooseVm();
        d_step {
            if
            :: loaded[vm] == 0 && releasing[vm] != 0 -> SEEN(fence, vm) = releasing[vm]
#ifdef EARLY_OBSERVATION
            :: loaded[vm] == 0 && releasing[vm] == 0 && HAS(groupMask[0], vm) -> SEEN(fence, vm) = groupEpoch[0]
            :: loaded[vm] == 0 && releasing[vm] == 0 && HAS(groupMask[1], vm) -> SEEN(fence, vm) = groupEpoch[1]
#endif
            :: else
            fi;
            clearScratch()
        }
       }

    /* PlanFree: send the update that removes the VM from the ledger. */
    :: atomic {
        leaseFence > 0 && ROOM ->
        chooseFence(); chooseVm(); chooseSlot();
        d_step {
            if
#ifdef FREE_UNSEEN
            :: releasing[vm] != 0 && FENCE_HOLDS ->
#else
            :: releasing[vm] != 0 && FENCE_HOLDS && SEEN(fence, vm) == releasing[vm] ->
#endif
                writeKind[slot] = FREE;
                writeMask[slot] = 1 << vm;
                writeFence[slot] = fence;
                writeFresh[slot] = 1
            :: else
            fi;
            clearScratch()
        }
       }

    /* CommitUpdate: a write reaches the platform, now or long after its writer abandoned it. */
    :: atomic {
        PENDING -> choosePending();
        d_step {
            if
#ifdef NO_CONDITIONAL_UPDATE
            :: true ->
#else
            :: writeFresh[slot] ->
#endif
#ifndef NO_CONDITIONAL_UPDATE
                /* A former holder's write is never committed after its successor's first write. */
                assert(writeFence[slot] >= ledgerFence);
#endif
                ledgerFence = writeFence[slot];
                if
                :: writeKind[slot] == CLAIM -> applyClaim(slot)
                :: writeKind[slot] == RELEASE -> applyRelease(slot)
                :: writeKind[slot] == FREE -> applyFree(slot)
                fi;
                staleOthers(slot);
                checkLedger()
#ifndef NO_CONDITIONAL_UPDATE
            :: else
#endif
            fi;
            clearWrite(slot);
            clearScratch()
        }
       }

    /* DeliverLoad: a load order arrives, however late. */
    :: atomic {
        lastEpoch > 0 -> chooseVm();
        if :: epoch = 1 :: lastEpoch >= 2 -> epoch = 2 :: lastEpoch >= 3 -> epoch = 3 fi;
        d_step {
            if
            :: HAS(formation[epoch], vm) ->
                loaded[vm] = epoch;
                hasLeft[vm] = (releasing[vm] != 0 && (hasLeft[vm] || epoch != releasing[vm]))
            :: else
            fi;
            clearScratch()
        }
       }

    /* DeliverUnload: an unload order arrives, however late. */
    :: atomic {
        lastEpoch > 0 -> chooseVm();
        if :: epoch = 1 :: lastEpoch >= 2 -> epoch = 2 :: lastEpoch >= 3 -> epoch = 3 fi;
        d_step {
            if
            :: HAS(released[epoch], vm) ->
                loaded[vm] = 0;
                hasLeft[vm] = (releasing[vm] != 0)
            :: else
            fi;
            clearScratch()
        }
       }

    /* RestartMember: the member has a new boot id and an empty engine. */
    :: atomic {
        chooseVm();
        d_step {
            loaded[vm] = 0;
            hasLeft[vm] = (releasing[vm] != 0);
            clearScratch()
        }
       }
    od
}

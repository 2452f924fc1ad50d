/*
 * Readiness evidence: when a router dispatches a request to a group, and when the group's head accepts it.
 *
 * Three claims are committed, one after another: epoch 1 names VMs 0 and 1, epoch 2 names VMs 1 and 2 for
 * another group, epoch 3 names VMs 0 and 2 for the first group again. The lowest VM of a claim is its head.
 * Any load or unload order of any claim may reach its members at any time, any number of times. This includes
 * late orders of former lease holders, both to engines that check fencing tokens and to one that ignores them.
 * The router may regard any of the three claims as current, since its configuration may be old.
 *
 * Time is counted in time-to-live periods. Evidence of age 0 was observed in the current period, evidence of
 * age 1 in the previous one; older evidence is dropped. So "within the window" means at most two periods in the
 * model, and one time to live in the code, which measures ages on a monotonic clock.
 *
 * What is asserted, and what is not:
 *   At dispatch, every member is at the epoch, or was at it within the window. Evidence cannot guarantee more:
 *   a member may leave right after it was observed.
 *   At acceptance, every member is at the epoch at that moment, provided that the head compares the request's
 *   epoch with its own and checks its members. The request may have been in flight for any time.
 *   With a head that does not check its members, only the first guarantee holds.
 *
 * Switches that remove a safeguard:
 *   NO_EXPIRY             evidence never expires
 *   HEAD_EVIDENCE_ONLY    evidence of the head alone opens the group
 *   NO_EPOCH_MATCH        evidence counts whatever epoch the member reports, as long as the group matches
 *   NO_RECHECK            evidence is checked when the group is selected, but not again at dispatch
 *   NO_HEAD_EPOCH_CHECK   the head accepts a request of any epoch
 *   NO_HEAD_MEMBER_CHECK  the head does not check its members
 *   NO_ENGINE_FENCING     the engines that should check fencing tokens do not
 */
#define VMS 3
#define EPOCHS 3
#define MAX_AGE 1
#define GONE 2                     /* Value of `away`: longer than the window. */

#define HAS(mask, vm) (((mask) >> (vm)) & 1)
#define MEMBERS(epoch) ((epoch) == 1 -> 3 : ((epoch) == 2 -> 6 : 5))
#define HEAD(epoch) ((epoch) == 2 -> 1 : 0)
#define GROUP(epoch) ((epoch) == 2 -> 2 : ((epoch) == 0 -> 0 : 1))

/* Engines. VM 0 checks fencing tokens, VM 1 ignores them; for VM 2, both cases are explored. */
byte loaded[VMS];
byte highest[VMS];
bit obeys[VMS];

/* Evidence that the router holds. */
byte observed[VMS];                /* Epoch that the member reported, 0 without evidence. */
byte age[VMS];
byte away[VMS];                    /* Periods since the member was last at the observed epoch. */

byte request;                      /* Epoch of the request in flight, 0 if none. */
#ifdef NO_RECHECK
byte selected;
#endif

byte i, vm, epoch, after;
bool holds, isLoad;

inline chooseVm() { if :: vm = 0 :: vm = 1 :: vm = 2 fi }
inline chooseEpoch() { if :: epoch = 1 :: epoch = 2 :: epoch = 3 fi }
inline clearScratch() { i = 0; vm = 0; epoch = 0; after = 0; holds = false; isLoad = false }

inline dropEvidence(v) { observed[v] = 0; age[v] = 0; away[v] = 0 }

/* The member is now at epoch `e`: resets `away` if this is the observed epoch. */
inline follow(v, e) {
    loaded[v] = e;
    if
    :: observed[v] != 0 && observed[v] == e -> away[v] = 0
    :: else
    fi
}

#ifdef NO_EPOCH_MATCH
#define MATCHES(v) (GROUP(observed[v]) == GROUP(epoch))
#else
#define MATCHES(v) (observed[v] == epoch)
#endif

#ifdef HEAD_EVIDENCE_ONLY
#define NEEDED(v) (v == HEAD(epoch))
#else
#define NEEDED(v) HAS(MEMBERS(epoch), v)
#endif

inline evidenceHolds() {
    holds = true;
    i = 0;
    do
    :: i < VMS -> holds = holds && (!NEEDED(i) || MATCHES(i)); i++
    :: else -> break
    od
}

inline checkDispatch() {
    i = 0;
    do
    :: i < VMS && HAS(MEMBERS(epoch), i) ->
        /* No dispatch to a group unless every member is at its epoch, or was at it within the window. */
        assert(loaded[i] == epoch || (observed[i] == epoch && away[i] < GONE));
        i++
    :: i < VMS && !HAS(MEMBERS(epoch), i) -> i++
    :: else -> break
    od
}

inline checkAcceptance() {
    i = 0;
    do
    :: i < VMS ->
        /* No request is accepted unless every member is at its epoch at that moment. */
        assert(!HAS(MEMBERS(epoch), i) || loaded[i] == epoch);
        i++
    :: else -> break
    od
}

init {
    d_step { obeys[0] = 1; obeys[1] = 0; obeys[2] = 1 };
    if :: obeys[2] = 0 :: skip fi;
    do
    /* DeliverLoad and DeliverUnload: any order of any claim, however late. */
    :: atomic {
        chooseEpoch(); chooseVm();
        if :: isLoad = true :: isLoad = false fi;
        d_step {
            if
#ifdef NO_ENGINE_FENCING
            :: HAS(MEMBERS(epoch), vm) ->
#else
            :: HAS(MEMBERS(epoch), vm) && (!obeys[vm] || epoch >= highest[vm]) ->
#endif
                /* An engine that checks fencing tokens never returns to an older claim without a restart. */
                assert(!obeys[vm] || epoch >= highest[vm]);
                after = (isLoad -> epoch : 0);
                follow(vm, after);
                highest[vm] = (obeys[vm] -> epoch : 0)
            :: else
            fi;
            clearScratch()
        }
       }

    /* RestartMember: the member has a new boot id, an empty engine, and no record of fencing tokens. */
    :: atomic { chooseVm(); d_step { loaded[vm] = 0; highest[vm] = 0; clearScratch() } }

    /* ObserveMember: a probe by this router, or by a peer that forwards the report with its age. */
    :: atomic {
        chooseVm();
        d_step { observed[vm] = loaded[vm]; age[vm] = 0; away[vm] = 0; clearScratch() }
       }

    /* InvalidateEvidence: the router drops a member's evidence, for example after a pause. */
    :: atomic { chooseVm(); d_step { dropEvidence(vm); clearScratch() } }

    /* ExpireEvidence: a period passes. */
    :: d_step {
        i = 0;
        do
        :: i < VMS && observed[i] == 0 -> i++
        :: i < VMS && observed[i] != 0 ->
            if
            :: loaded[i] != observed[i] && away[i] < GONE -> away[i]++
            :: else
            fi;
#ifndef NO_EXPIRY
            age[i]++;
            if
            :: age[i] > MAX_AGE -> dropEvidence(i)
            :: else
            fi;
#endif
            i++
        :: else -> break
        od;
        clearScratch()
       }

#ifdef NO_RECHECK
    :: atomic {
        selected == 0 -> chooseEpoch();
        d_step {
            evidenceHolds();
            if
            :: holds -> selected = epoch
            :: else
            fi;
            clearScratch()
        }
       }
    :: d_step {
        request == 0 && selected != 0 -> epoch = selected; checkDispatch(); request = epoch; selected = 0; clearScratch()
       }
#else
    /* Dispatch: checking the evidence and sending the request are one atomic step. */
    :: atomic {
        request == 0 -> chooseEpoch();
        d_step {
            evidenceHolds();
            if
            :: holds -> checkDispatch(); request = epoch
            :: else
            fi;
            clearScratch()
        }
       }
#endif

    /* AcceptRequest: the request reaches the head, however late. */
    :: d_step {
        request != 0 -> epoch = request;
        request = 0;
        holds = true;
        i = 0;
        do
        :: i < VMS ->
#ifndef NO_HEAD_EPOCH_CHECK
            holds = holds && (i != HEAD(epoch) || loaded[i] == epoch);
#endif
#ifndef NO_HEAD_MEMBER_CHECK
            holds = holds && (i == HEAD(epoch) || !HAS(MEMBERS(epoch), i) || loaded[i] == epoch);
#endif
            i++
        :: else -> break
        od;
        if
        :: holds -> checkAcceptance()
        :: else
        fi;
        clearScratch()
       }
    od
}

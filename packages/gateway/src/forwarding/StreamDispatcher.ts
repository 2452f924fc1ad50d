import type { Clock, Random } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { AdmissionOutcome } from "../placement/AdmissionOutcome.js";
import type { AdmissionQueue } from "../placement/AdmissionQueue.js";
import type { AvoidedUpstreams } from "../placement/AvoidedUpstreams.js";
import { chooseGroup } from "../placement/chooseGroup.js";
import { chooseGroupByZone } from "../placement/chooseGroupByZone.js";
import type { CrashGuard } from "../placement/CrashGuard.js";
import { estimateTokens } from "../placement/estimateTokens.js";
import type { FailureRateTracker } from "../placement/FailureRateTracker.js";
import type { FleetDemand } from "../placement/FleetDemand.js";
import type { GroupCandidate } from "../placement/GroupCandidate.js";
import type { GroupDirectory } from "../placement/GroupDirectory.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import { predictPass } from "../placement/predictPass.js";
import { RequestRetries } from "../placement/RequestRetries.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { SharedAdmission } from "../placement/SharedAdmission.js";
import type { SpilloverPolicy } from "../placement/SpilloverPolicy.js";
import type { TrackedRequest } from "../placement/TrackedRequest.js";
import type { UpstreamLimiter } from "../placement/UpstreamLimiter.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import { attemptLogFields } from "./attemptLogFields.js";
import type { AttemptResult } from "./AttemptResult.js";
import { createFailedAttempt } from "./createFailedAttempt.js";
import { EventFramer } from "./EventFramer.js";
import type { ForwardedCall } from "./ForwardedCall.js";
import type { IdleTimeoutMonitor } from "./IdleTimeoutMonitor.js";
import { judgeResponse } from "./judgeResponse.js";
import { readBody } from "./readBody.js";
import { recordDemand } from "./recordDemand.js";
import type { ResponseMemory } from "./ResponseMemory.js";

interface StreamDispatcherOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    queue: AdmissionQueue;
    groups: GroupDirectory;
    loads: LoadTracker;
    upstreamLimiter: UpstreamLimiter;
    failureRates: FailureRateTracker;
    avoidedUpstreams: AvoidedUpstreams;
    retryBudget: RetryBudget;
    demand: FleetDemand;
    crashGuard: CrashGuard;
    idleTimeouts: IdleTimeoutMonitor;
    client: UpstreamClient;
    responseMemory: ResponseMemory;
    spillover: SpilloverPolicy;
    zone: string;
    /** Time since the view of the upstreams was last updated. */
    viewAgeMs: () => number;
    random: Random;
    admission: SharedAdmission;
    /** Number of gateways that send requests to the same groups. */
    gatewayCount: () => number;
}

/** A slot that was taken at a group. */
interface GroupSlot {
    candidate: GroupCandidate;
    /** Predicted time until the first event. */
    firstEventMs: number;
    /** Tokens that the request is expected to hold at its end; undefined if it states none. */
    ownTokens?: number;
    /** Why a group of another zone was chosen; undefined if the choice was made over all zones. */
    leaveReason?: string;
    trackedRequest: TrackedRequest;
    /** Aborts, with the reason, when the group is reported lost. */
    groupLost: AbortController;
    /** True once the upstream has sent an event. */
    hasEvents: boolean;
}

/** Progress of a stream over all its attempts. */
interface StreamProgress {
    lastEventId?: string;
    hasEvents: boolean;
    /** Number of events that all attempts have delivered. */
    events: number;
    /** Decides which of several requests gets memory that does not suffice for all; 0 to 1. */
    draw: number;
    /** Attempts that an engine has run or may have run; a resend to the same head is not counted again. */
    countedAttempts: number;
    /** Head to which the request may be sent once more, because the connection to it was stale. */
    resendTo?: string;
    mayHaveRun: boolean;
    /** Attempts that the head rejected. */
    rejections: number;
    /** Heads that accepted no connection. */
    unreachableHeads: Set<string>;
    /** Groups that broke the stream off or were given up. */
    brokenEpochs: Set<number>;
    retries: RequestRetries;
    /** The last error response of an upstream. It is forwarded if no other attempt succeeds. */
    failureAnswer?: AttemptResult & { kind: "failure-answer"; };
}

/** Why a request is not sent once more. */
type RetryDenial =
    | "not resumable"
    | "too many rejections"
    | "no attempts left"
    | "upstreams may crash under the request"
    | "retry budget exhausted";

/**
 * Longest wait for a stream's first event beyond its predicted time. A group that prefills other prompts needs a few
 * hundred milliseconds; callers give up after two seconds.
 */
const FIRST_EVENT_MARGIN_MS = 900;
/**
 * A group counts as alive if it has sent an event to any gateway within this time, which covers its longest passes and
 * the delay until loads reach this gateway.
 */
const MAX_ALIVE_SILENCE_MS = 500;
/**
 * Additional wait for the first event of a busy group: callers give up after two seconds. Another group counts as
 * quicker if its first event is expected within half of this time.
 */
const BUSY_EXTENSION_MS = 700;
/** Up to this many gateways compare all groups: they learn of each other's requests within a tenth of a second. */
const MAX_GATEWAYS_COMPARING_ALL = 12;
/** Number of groups that each gateway compares for a request where there are more gateways. */
const SAMPLED_GROUPS = 3;
/** Longest pause between two events: several of the longest passes, and well under the callers' two seconds. */
const EVENT_PAUSE_LIMIT_MS = 750;
/** Number of rejections after which a request is refused: the view is wrong about several groups, or all are full. */
const MAX_REJECTIONS = 3;
/** The same for a stream that has begun, whose response would be cut off. */
const MAX_REJECTIONS_OF_BEGUN = 6;
/** Time within which a group that is being formed is expected to open: warm joins take about a second. */
const EXPECTED_FORMATION_MS = 800;
/** Fraction of the remaining time that a request may spend waiting; the rest is for the response itself. */
const MAX_WAIT_FRACTION = 0.45;

/** Retry-after delay of a request that no group can hold, which only a new configuration changes: the longest that is used. */
const OVERSIZED_RETRY_AFTER_MS = 3000;

/** Waits for a slot at a group, forwards the stream's events as they arrive and, if it breaks, resumes it elsewhere. */
export class StreamDispatcher {
    private constructor(private readonly options: StreamDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: StreamDispatcherOptions): StreamDispatcher {
        return new StreamDispatcher(options);
    }

    /** Serves one request until it is delivered, refused or failed. */
    async run(call: ForwardedCall, engine: EngineProfile): Promise<void> {
        const progress: StreamProgress = {
            lastEventId: call.request.lastEventId,
            hasEvents: false,
            events: 0,
            draw: engine.kvCacheTokens === undefined ? 0 : this.options.random.next(),
            countedAttempts: 0,
            mayHaveRun: false,
            rejections: 0,
            unreachableHeads: new Set(),
            brokenEpochs: new Set(),
            retries: RequestRetries.create(this.options.retryBudget, call.service.name),
        };
        const { demand, metrics } = this.options;
        recordDemand(demand, call, "offered");
        const decision = this.decideAdmission(call);
        if (decision.kind === "refused") {
            this.giveUp(call, progress, decision);
            return;
        }
        let isAdmitted = false;
        if (estimateTokens(engine, call.request)?.exceedsMemory) {
            const reason = "the request exceeds the memory of a group";
            this.giveUp(call, progress, { kind: "refused", retryAfterMs: OVERSIZED_RETRY_AFTER_MS, reason });
            return;
        }
        for (;;) {
            const admitted = await this.acquire(call, engine, progress);
            if (admitted.kind !== "admitted") {
                this.giveUp(call, progress, this.endWait(call, progress, admitted));
                break;
            }
            if (!isAdmitted) {
                recordDemand(demand, call, "admitted");
                isAdmitted = true;
            }
            metrics.observe("queueWait", admitted.waitedMs);
            const result = await this.attempt(call, engine, admitted.slot, progress);
            if (this.handleResult(call, progress, admitted.slot, result)) {
                break;
            }
        }
        if (progress.mayHaveRun && !progress.hasEvents) {
            this.recordIfLate(call);
        }
    }

    /** Decides whether a request waits for a slot. A stream that has begun is always resumed. */
    private decideAdmission(call: ForwardedCall): ReturnType<SharedAdmission["decide"]> {
        return call.request.lastEventId !== undefined || call.isTrial
            ? { kind: "admitted" }
            : this.options.admission.decide(rankedRequestOf(call));
    }

    /**
     * Returns true for a request that may take a slot only if its first event is expected in time, because the pool cannot
     * serve all requests. A stream that has begun, or that an engine may have run, is served late rather than not at all.
     */
    private mustBeOnTime(call: ForwardedCall, progress: StreamProgress): boolean {
        return progress.lastEventId === undefined && !progress.mayHaveRun && !call.isTrial
            && this.options.admission.isShort(rankedRequestOf(call));
    }

    /**
     * Counts a request as late that got no slot within the time in which its first event would have been on time, and
     * returns what follows. During a shortage, its caller is told when the fleet will have capacity.
     */
    private endWait(
        call: ForwardedCall,
        progress: StreamProgress,
        outcome: AdmissionOutcome<GroupSlot> & { kind: "refused" | "aborted"; },
    ): AdmissionOutcome<GroupSlot> & { kind: "refused" | "aborted"; } {
        if (outcome.kind === "refused" && this.mustBeOnTime(call, progress)) {
            recordDemand(this.options.demand, call, "late");
            const retryAfterMs = this.options.admission.retryAfterMs(rankedRequestOf(call));
            return { ...outcome, retryAfterMs: Math.max(outcome.retryAfterMs, retryAfterMs) };
        }
        if (!progress.mayHaveRun) {
            this.recordIfLate(call);
        }
        return outcome;
    }

    /** Counts a request as late if the route's target for its first event is over. */
    private recordIfLate(call: ForwardedCall): void {
        if (this.options.clock.monotonicMs() > call.request.receivedAtMs + call.route.targetLatencyMs) {
            recordDemand(this.options.demand, call, "late");
        }
    }

    private acquire(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
    ): Promise<AdmissionOutcome<GroupSlot>> {
        const { clock, queue, groups, upstreamLimiter, avoidedUpstreams, admission } = this.options;
        const nowMs = clock.monotonicMs();
        const { request, route, service } = call;
        const onTimeUntilMs = request.receivedAtMs + route.targetLatencyMs;
        const usefulUntilMs = nowMs + (call.deadlineMs - nowMs) * MAX_WAIT_FRACTION;
        const priority = admission.hasRanks(service.name) ? call.rank : call.priority;
        const mustBeOnTime = () => this.mustBeOnTime(call, progress);
        const model = engine.models.find(({ name }) => name === request.model);
        const idle = { inFlight: 0, pendingPrefillTokens: 0 };
        const leastFirstEventMs = () => model ? predictPass(engine, model, idle, request.promptTokens).firstEventMs : 0;
        return queue.acquire<GroupSlot>({
            pool: poolOf(call),
            // A stream that has begun is resumed before others start.
            priority: progress.hasEvents ? -1 : priority,
            // The response of a stream that has begun would be cut off if it did not get a slot.
            onTimeUntilMs: progress.hasEvents ? Infinity : onTimeUntilMs,
            get usefulUntilMs() {
                if (progress.hasEvents) {
                    return call.deadlineMs;
                }
                return mustBeOnTime() ? Math.min(usefulUntilMs, onTimeUntilMs - leastFirstEventMs()) : usefulUntilMs;
            },
            tryAcquireSlot: () => this.tryAcquireSlot(call, engine, progress),
            expectedWaitMs: () => {
                if (this.isBlocked(call)) {
                    return Infinity;
                }
                if (!hasAttemptsLeft(call, progress) && this.candidates(call, engine, progress).length === 0) {
                    return Infinity;
                }
                const heads = groups.openHeads(service.name, engine, request.model);
                const usableHeads = avoidedUpstreams.usable(heads);
                const waitsMs = heads
                    .filter(head =>
                        !avoidedUpstreams.isUnreachable(head)
                        || (usableHeads.has(head) && this.mayTry(head, progress))
                    )
                    .map(head => upstreamLimiter.waitMs(head, service));
                const mayOpen = progress.hasEvents || groups.isForming(service.name, request.model);
                return Math.min(...waitsMs, mayOpen ? EXPECTED_FORMATION_MS : Infinity);
            },
        }, AbortSignal.any([call.callerResponse.disconnected, call.deadline]));
    }

    private candidates(call: ForwardedCall, engine: EngineProfile, progress: StreamProgress): GroupCandidate[] {
        const { groups, upstreamLimiter, avoidedUpstreams } = this.options;
        const { request, service } = call;
        const open = groups.candidates(service.name, engine, request.model);
        const usableHeads = avoidedUpstreams.usable(open.map(({ head }) => head));
        const candidates = open.filter(({ head }) =>
            usableHeads.has(head) && this.mayTry(head, progress)
            && upstreamLimiter.canSend(head, service)
        );
        const resendCandidates = candidates.filter(({ head }) => head.id === progress.resendTo);
        return resendCandidates.length > 0 || !hasAttemptsLeft(call, progress) ? resendCandidates : candidates;
    }

    /**
     * Returns false if the request has found the head unreachable and no other one has reached it since. The response of
     * a stream that has begun would be cut off, so its request tries the head again.
     */
    private mayTry(head: Upstream, { unreachableHeads, hasEvents }: StreamProgress): boolean {
        return hasEvents || !unreachableHeads.has(head.id) || !this.options.avoidedUpstreams.isUnreachable(head);
    }

    /** Returns the groups other than that of `epoch` that are reachable, accept the request and have not broken it off. */
    private reachableOthers(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
        epoch: number,
    ): GroupCandidate[] {
        return this.candidates(call, engine, progress).filter(candidate =>
            candidate.epoch !== epoch && !progress.brokenEpochs.has(candidate.epoch)
            && !this.options.avoidedUpstreams.isUnreachable(candidate.head)
        );
    }

    /** Returns true if the request, or a part of its prompt, was blocked meanwhile. */
    private isBlocked(call: ForwardedCall): boolean {
        return !call.isTrial && this.options.crashGuard.isBlocked(call.crashSubjects);
    }

    private requestProfile(
        { request, route }: ForwardedCall,
        engine: EngineProfile,
        { events, draw }: StreamProgress,
    ): Parameters<typeof chooseGroup>[2] {
        return {
            zone: this.options.zone,
            promptTokens: request.promptTokens,
            tokens: estimateTokens(engine, request, draw, events * engine.stepsPerPass),
            otherGateways: this.options.gatewayCount() - 1,
            targetGapMs: route.targetGapMs,
        };
    }

    /**
     * Returns true if an attempt is left for another group that is expected to prefill the prompt and send its first
     * event before the busy one does.
     */
    private hasQuickerGroup(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
        busyEpoch: number,
    ): boolean {
        if (progress.countedAttempts + 1 >= call.route.maxAttempts) {
            return false;
        }
        const others = this.reachableOthers(call, engine, progress, busyEpoch);
        const choice = chooseGroup(engine, others, this.requestProfile(call, engine, progress));
        return choice !== undefined && choice.firstEventMs < BUSY_EXTENSION_MS / 2;
    }

    private tryAcquireSlot(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
    ): GroupSlot | undefined {
        const { clock, loads, upstreamLimiter, avoidedUpstreams, random, gatewayCount } = this.options;
        const { request } = call;
        if (this.isBlocked(call)) {
            return undefined;
        }
        const candidates = this.candidates(call, engine, progress);
        const others = candidates.filter(({ epoch }) => !progress.brokenEpochs.has(epoch));
        const profile = this.requestProfile(call, engine, progress);
        const sampling = gatewayCount() > MAX_GATEWAYS_COMPARING_ALL ? { count: SAMPLED_GROUPS, random } : undefined;
        const choice = this.chooseByZone(call, engine, progress, others, profile)
            ?? chooseGroup(engine, others, profile, sampling)
            ?? chooseGroup(engine, candidates, profile, sampling);
        if (!choice) {
            return undefined;
        }
        const firstEventAtMs = clock.monotonicMs() + choice.firstEventMs;
        if (
            firstEventAtMs > request.receivedAtMs + call.route.targetLatencyMs && this.mustBeOnTime(call, progress)
        ) {
            return undefined;
        }
        const { head, epoch } = choice.candidate;
        upstreamLimiter.record(head);
        avoidedUpstreams.recordAttempt(head);
        const groupLost = new AbortController();
        const trackedRequest = loads.trackRequest(
            String(epoch),
            head.service,
            request.promptTokens,
            reason => groupLost.abort(reason),
            profile.tokens,
        );
        const { tokens } = profile;
        const ownTokens = tokens?.isStated ? Math.round(tokens.promptTokens + tokens.answerTokens) : undefined;
        return { ...choice, ownTokens, trackedRequest, groupLost, hasEvents: false };
    }

    /** Chooses a group of the own zone first; undefined where a request is sent once more, or zones are not preferred. */
    private chooseByZone(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
        candidates: readonly GroupCandidate[],
        profile: Parameters<typeof chooseGroup>[2],
    ): ReturnType<typeof chooseGroupByZone> {
        const { clock, spillover, random } = this.options;
        const { request, route, service } = call;
        const isRepeated = progress.mayHaveRun || progress.rejections > 0 || progress.unreachableHeads.size > 0
            || request.lastEventId !== undefined;
        const decision = isRepeated ? undefined : spillover.decideStreams({
            service: service.name,
            engine,
            model: request.model ?? "",
            targetMs: route.targetLatencyMs,
            coldRequestsPerSecond: service.coldRequestsPerSecond,
        });
        const targetMs = request.receivedAtMs + route.targetLatencyMs - clock.monotonicMs();
        return decision && chooseGroupByZone(engine, candidates, { ...profile, targetMs }, decision, random);
    }

    private async attempt(
        call: ForwardedCall,
        engine: EngineProfile,
        slot: GroupSlot,
        progress: StreamProgress,
    ): Promise<AttemptResult> {
        const { clock, client, idleTimeouts, failureRates, avoidedUpstreams, loads } = this.options;
        const { head, epoch } = slot.candidate;
        this.logAdmitted(call, slot, progress);
        const abandonment = new AbortController();
        let canExtend = true;
        /** Abandons the attempt if that is of use to the caller; returns false if it continues. */
        const tryAbandon = (reason: string) => {
            if (abandonment.signal.aborted) {
                return true;
            }
            if (!this.options.groups.hasLeft(head, epoch) && !this.tryReserveRetry(call, engine, progress, slot)) {
                return false;
            }
            abandonment.abort(reason);
            return true;
        };
        const idleTimer = idleTimeouts.watch(slot.firstEventMs + FIRST_EVENT_MARGIN_MS, () => {
            const isGroupAlive = loads.totalLoad(String(epoch)).silentMs < MAX_ALIVE_SILENCE_MS;
            if (
                canExtend && !slot.hasEvents && isGroupAlive && !this.hasQuickerGroup(call, engine, progress, epoch)
            ) {
                canExtend = false;
                return BUSY_EXTENSION_MS;
            }
            const { groupLost } = slot;
            const reason = groupLost.signal.aborted ? String(groupLost.signal.reason) : "silent for too long";
            return tryAbandon(reason) ? undefined : idleTimeouts.recheckIntervalMs;
        });
        slot.groupLost.signal.addEventListener("abort", () => {
            if (!tryAbandon(String(slot.groupLost.signal.reason))) {
                idleTimer.reset(idleTimeouts.recheckIntervalMs);
            }
        });
        const signal = AbortSignal.any([
            call.callerResponse.disconnected,
            call.deadline,
            abandonment.signal,
        ]);
        const aborted = new Promise(resolve => signal.addEventListener("abort", resolve, { once: true }));
        const framer = EventFramer.create(this.options.responseMemory);
        try {
            const response = await client.send(head, {
                request: call.request,
                remainingMs: call.deadlineMs - clock.monotonicMs(),
                account: call.account,
                resumeAfter: progress.lastEventId,
                enginePriority: this.options.admission.enginePriority(call.service.name, call.rank),
            }, signal);
            if (response.kind === "not-run") {
                failureRates.record(head.id, true);
                const { reason } = response;
                avoidedUpstreams.record(head, reason);
                return { kind: "not-run", reason, hasArrived: reason !== "not-connected" };
            }
            if (response.kind === "unknown") {
                const { reason, isStaleConnection } = response;
                return this.brokenResult(call, slot, progress, abandonment.signal, reason, isStaleConnection);
            }
            avoidedUpstreams.recordReached(head);
            const verdict = judgeResponse(response);
            if (verdict !== "success") {
                const body = await readBody(response.body, undefined, this.options.responseMemory);
                failureRates.record(head.id, true);
                return body.kind === "completed"
                    ? createFailedAttempt(verdict, response.head, body.bytes)
                    : { kind: "broken", reason: "the answer ended early" };
            }
            for await (const chunk of response.body) {
                const events = framer.push(chunk);
                if (!events) {
                    continue;
                }
                if (!progress.hasEvents) {
                    this.recordIfLate(call);
                }
                if (!slot.hasEvents) {
                    this.options.crashGuard.recordBegun(call.crashSubjects, poolOf(call));
                }
                slot.trackedRequest.recordEvent(events.count);
                progress.events += events.count;
                if (!call.callerResponse.hasStarted) {
                    call.callerResponse.start(response.head);
                    this.options.metrics.observe("firstEvent", clock.monotonicMs() - call.request.receivedAtMs);
                }
                slot.hasEvents = true;
                progress.hasEvents = true;
                progress.lastEventId = framer.lastEventId ?? progress.lastEventId;
                // Until the caller has taken the events, nothing is read from the upstream.
                idleTimer.reset(Infinity);
                slot.trackedRequest.pause();
                await Promise.race([call.callerResponse.write(events.bytes), aborted]);
                slot.trackedRequest.resume();
                idleTimer.reset(EVENT_PAUSE_LIMIT_MS);
            }
            if (framer.hasPartialEvent || call.deadline.aborted || call.callerResponse.disconnected.aborted) {
                return this.brokenResult(call, slot, progress, abandonment.signal, "the stream ended inside an event");
            }
            if (!progress.hasEvents && call.request.lastEventId === undefined) {
                const reason = "the stream ended before its first event";
                return this.brokenResult(call, slot, progress, abandonment.signal, reason);
            }
            if (!call.callerResponse.hasStarted) {
                call.callerResponse.start(response.head);
            }
            call.callerResponse.end();
            failureRates.record(head.id, false);
            return { kind: "delivered" };
        }
        catch (error) {
            return this.brokenResult(
                call,
                slot,
                progress,
                abandonment.signal,
                error instanceof Error ? error.message : String(error),
            );
        }
        finally {
            framer.release();
            idleTimer.stop();
            slot.trackedRequest.end();
            this.options.queue.admitWaiting();
        }
    }

    /**
     * Takes a retry from the budget if the request may be resumed at a group that accepts it now. An upstream that is
     * only silent may go on, so its response is not ended for anything less.
     */
    private tryReserveRetry(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
        { candidate }: GroupSlot,
    ): boolean {
        const isResend = progress.resendTo === candidate.head.id;
        const attemptsAfterThis = progress.countedAttempts + (isResend ? 0 : 1);
        const mayRetry = call.route.isResumable && attemptsAfterThis < call.route.maxAttempts
            && !isRejectedTooOften(progress) && !this.isBlocked(call);
        if (!mayRetry) {
            return false;
        }
        const others = this.reachableOthers(call, engine, progress, candidate.epoch).filter(({ load }) =>
            load.silentMs < MAX_ALIVE_SILENCE_MS
        );
        return chooseGroup(engine, others, this.requestProfile(call, engine, progress)) !== undefined
            && progress.retries.tryReserve();
    }

    /** Returns the result of an attempt that was aborted or ended early. */
    private brokenResult(
        call: ForwardedCall,
        slot: GroupSlot,
        progress: StreamProgress,
        abandonment: AbortSignal,
        reason: string,
        isStaleConnection = false,
    ): AttemptResult {
        if (call.callerResponse.disconnected.aborted || call.deadline.aborted) {
            return { kind: "stopped" };
        }
        if (!slot.groupLost.signal.aborted) {
            this.options.failureRates.record(slot.candidate.head.id, true);
        }
        const cause = abandonment.aborted ? String(abandonment.reason) : reason;
        if (!progress.hasEvents && !abandonment.aborted) {
            const { id, startedAtMs } = slot.candidate.head;
            const instance = `${id}/${startedAtMs}`;
            this.options.crashGuard.recordCrash(call.crashSubjects, instance, poolOf(call), isStaleConnection);
        }
        return { kind: "broken", reason: cause, isStaleConnection };
    }

    /** Decides what follows an attempt; returns true if the request is finished, false if it is to be retried. */
    private handleResult(
        call: ForwardedCall,
        progress: StreamProgress,
        slot: GroupSlot,
        result: AttemptResult,
    ): boolean {
        this.logAttemptEnded(call, slot, progress, result);
        if (result.kind === "delivered") {
            this.options.metrics.count("requests", "delivered");
            return true;
        }
        if (result.kind === "stopped") {
            progress.mayHaveRun = true;
            this.giveUp(call, progress, { kind: "aborted" });
            return true;
        }
        const isResend = progress.resendTo === slot.candidate.head.id;
        progress.resendTo = undefined;
        if (result.kind === "not-run") {
            progress.rejections += result.hasArrived ? 1 : 0;
            if (!result.hasArrived) {
                progress.unreachableHeads.add(slot.candidate.head.id);
            }
        }
        else {
            progress.failureAnswer = result.kind === "failure-answer" ? result : progress.failureAnswer;
            progress.mayHaveRun = true;
            progress.countedAttempts += isResend ? 0 : 1;
            if (!isResend && result.kind === "broken" && result.isStaleConnection) {
                progress.resendTo = slot.candidate.head.id;
            }
            else if (result.kind === "broken") {
                progress.brokenEpochs.add(slot.candidate.epoch);
            }
        }
        const denial = this.retryDenial(call, progress, result);
        if (denial === undefined) {
            this.options.metrics.count("retries", result.kind);
            return false;
        }
        const reason = result.kind === "failure-answer" ? "the upstream failed" : result.reason;
        this.fail(call, progress, reason, denial);
        return true;
    }

    /** Takes a retry from the budget if the request may be sent once more; otherwise returns why it may not. */
    private retryDenial(
        call: ForwardedCall,
        progress: StreamProgress,
        result: AttemptResult & { kind: "not-run" | "broken" | "failure-answer" | "withheld-answer"; },
    ): RetryDenial | undefined {
        if (progress.retries.useReserved()) {
            return undefined;
        }
        if (!call.route.isResumable && result.kind !== "not-run") {
            return "not resumable";
        }
        if (isRejectedTooOften(progress)) {
            return "too many rejections";
        }
        if (!hasAttemptsLeft(call, progress) && progress.resendTo === undefined) {
            return "no attempts left";
        }
        if (result.kind === "broken" && !this.options.crashGuard.mayRetry(call.crashSubjects)) {
            return "upstreams may crash under the request";
        }
        const hasArrived = result.kind !== "not-run" || result.hasArrived;
        return progress.retries.tryTake(hasArrived) ? undefined : "retry budget exhausted";
    }

    private giveUp(
        call: ForwardedCall,
        progress: StreamProgress,
        outcome: AdmissionOutcome<GroupSlot> & { kind: "refused" | "aborted"; },
    ): void {
        const { log, metrics } = this.options;
        if (call.callerResponse.disconnected.aborted) {
            metrics.count("requests", "caller gone");
            log.info("caller disconnected", { request: call.request.id });
            return;
        }
        if (outcome.kind === "refused" && !progress.mayHaveRun) {
            metrics.count("refusals", outcome.reason);
            const rank = this.options.admission.hasRanks(call.service.name) ? call.rank : undefined;
            if (rank !== undefined) {
                metrics.count("rankRefusals", String(rank));
            }
            recordDemand(this.options.demand, call, "refused");
            log.info("request refused", {
                request: call.request.id,
                reason: outcome.reason,
                rank,
                retryAfterMs: Math.round(outcome.retryAfterMs),
                viewAgeMs: Math.round(this.options.viewAgeMs()),
            });
            call.callerResponse.refuse({ kind: "not-run", retryAfterMs: outcome.retryAfterMs, reason: outcome.reason });
            return;
        }
        this.fail(call, progress, outcome.kind === "refused" ? outcome.reason : "the time is over");
    }

    private fail(call: ForwardedCall, progress: StreamProgress, reason: string, retryDenial?: RetryDenial): void {
        const { failureAnswer } = progress;
        if (failureAnswer && !call.callerResponse.hasStarted) {
            this.options.metrics.count("requests", "failure answer");
            call.callerResponse.sendComplete(failureAnswer.head, failureAnswer.body);
            return;
        }
        this.options.metrics.count("requests", "failed");
        this.options.log.info("request failed", {
            request: call.request.id,
            reason,
            retryDenial,
            hasBegun: call.callerResponse.hasStarted,
        });
        if (call.callerResponse.hasStarted) {
            call.callerResponse.abort();
        }
        else if (!progress.mayHaveRun) {
            recordDemand(this.options.demand, call, "refused");
            call.callerResponse.refuse({ kind: "not-run", retryAfterMs: EXPECTED_FORMATION_MS, reason });
        }
        else {
            call.callerResponse.refuse(
                call.deadline.aborted ? { kind: "timed-out" } : { kind: "outcome-unknown", reason },
            );
        }
    }

    private logAdmitted(call: ForwardedCall, slot: GroupSlot, progress: StreamProgress): void {
        const { candidate } = slot;
        this.options.log.info("request admitted", {
            request: call.request.id,
            route: call.route.name,
            configuration: call.configurationVersion,
            upstream: candidate.head.id,
            epoch: candidate.epoch,
            inFlight: candidate.load.inFlight,
            unreadTokens: candidate.load.pendingPrefillTokens,
            heldTokens: candidate.load.heldTokens === undefined ? undefined : Math.round(candidate.load.heldTokens),
            ownTokens: slot.ownTokens,
            predictedMs: Math.round(slot.firstEventMs),
            waitedMs: Math.round(this.options.clock.monotonicMs() - call.request.receivedAtMs),
            viewAgeMs: Math.round(this.options.viewAgeMs()),
            resumeAfter: progress.lastEventId,
            ...this.options.spillover.recordSent(candidate.head, slot.leaveReason),
            ...this.options.upstreamLimiter.logFields(candidate.head, call.service),
        });
    }

    private logAttemptEnded(
        call: ForwardedCall,
        slot: GroupSlot,
        progress: StreamProgress,
        result: AttemptResult,
    ): void {
        this.options.log.info("attempt ended", {
            request: call.request.id,
            upstream: slot.candidate.head.id,
            epoch: slot.candidate.epoch,
            ...attemptLogFields(result),
            isStaleConnection: result.kind === "broken" && result.isStaleConnection ? true : undefined,
            hasEvents: result.kind === "broken" ? slot.hasEvents : undefined,
            fingerprint: result.kind === "broken" && !slot.hasEvents ? call.crashSubjects.fingerprint : undefined,
            promptParts: result.kind === "broken" && !slot.hasEvents
                ? call.request.sharedPromptParts.join(",")
                : undefined,
            lastEventId: progress.lastEventId,
            durationMs: Math.round(this.options.clock.monotonicMs() - call.request.receivedAtMs),
        });
    }
}

function hasAttemptsLeft(call: ForwardedCall, progress: StreamProgress): boolean {
    return progress.countedAttempts < call.route.maxAttempts;
}

function isRejectedTooOften({ rejections, hasEvents }: StreamProgress): boolean {
    return rejections >= (hasEvents ? MAX_REJECTIONS_OF_BEGUN : MAX_REJECTIONS);
}

function rankedRequestOf(
    { service, request: { model }, rank, account }: ForwardedCall,
): Parameters<SharedAdmission["decide"]>[0] {
    return { service, model, rank, account };
}

/** Returns the name of the upstreams among which a call's one is chosen. */
function poolOf({ service, request }: ForwardedCall): string {
    return `${service.name}/${request.model ?? ""}`;
}

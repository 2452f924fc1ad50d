import type { Clock, Random } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { AdmissionOutcome } from "../placement/AdmissionOutcome.js";
import type { AdmissionQueue } from "../placement/AdmissionQueue.js";
import type { AvoidedUpstreams } from "../placement/AvoidedUpstreams.js";
import { chooseUpstream } from "../placement/chooseUpstream.js";
import type { CrashGuard } from "../placement/CrashGuard.js";
import type { FailureRateTracker } from "../placement/FailureRateTracker.js";
import type { FleetDemand } from "../placement/FleetDemand.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import { PLAIN_SILENCE_LIMIT_MS } from "../placement/plainSilenceLimitMs.js";
import { RequestRetries } from "../placement/RequestRetries.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { SpilloverDecision } from "../placement/SpilloverDecision.js";
import type { SpilloverPolicy } from "../placement/SpilloverPolicy.js";
import type { TrackedRequest } from "../placement/TrackedRequest.js";
import type { UpstreamLimiter } from "../placement/UpstreamLimiter.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { attemptLogFields } from "./attemptLogFields.js";
import type { AttemptResult } from "./AttemptResult.js";
import { createFailedAttempt } from "./createFailedAttempt.js";
import type { ForwardedCall } from "./ForwardedCall.js";
import type { IdleTimeoutMonitor } from "./IdleTimeoutMonitor.js";
import { judgeResponse } from "./judgeResponse.js";
import { readBody } from "./readBody.js";
import { recordDemand } from "./recordDemand.js";
import type { ResponseMemory } from "./ResponseMemory.js";

interface PlainDispatcherOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    queue: AdmissionQueue;
    upstreams: UpstreamDirectory;
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
    random: Random;
    zone: string;
    isEvacuated: (zone: string) => boolean;
    viewAgeMs: () => number;
}

/** A slot that was taken at an upstream. */
interface PlainSlot {
    upstream: Upstream;
    /** Why an upstream of another zone was chosen; undefined if the choice was made over all zones. */
    leaveReason?: string;
    trackedRequest: TrackedRequest;
}

interface PlainProgress {
    /** Upstreams that the request has reached. */
    triedUpstreams: Set<string>;
    /** Upstreams that accepted no connection. */
    unreachableUpstreams: Set<string>;
    /** Attempts after which the request may have run. */
    countedAttempts: number;
    mayHaveRun: boolean;
    /** Attempts that the upstream rejected. */
    rejections: number;
    retries: RequestRetries;
    /** The last error response of an upstream. It is forwarded if no other attempt succeeds. */
    failureAnswer?: AttemptResult & { kind: "failure-answer"; };
}

/** Multiple of the route's target latency after which a repeatable request is sent to another upstream instead. */
const RETRY_TIMEOUT_FACTOR = 1.5;
/** Number of rejections after which a request is refused. */
const MAX_REJECTIONS = 3;
/** Fraction of the remaining time that a request may spend waiting for a slot. */
const MAX_WAIT_FRACTION = 0.5;
/** Retry-after delay when no upstream accepts a request: upstreams come and go within seconds. */
const RETRY_AFTER_MS = 500;

/** Sends requests to plain services, which return one complete response each. Retries only where that is safe. */
export class PlainDispatcher {
    private constructor(private readonly options: PlainDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: PlainDispatcherOptions): PlainDispatcher {
        return new PlainDispatcher(options);
    }

    /** Serves one request until it is delivered, refused or failed. */
    async run(call: ForwardedCall): Promise<void> {
        const progress: PlainProgress = {
            triedUpstreams: new Set(),
            unreachableUpstreams: new Set(),
            countedAttempts: 0,
            mayHaveRun: false,
            rejections: 0,
            retries: RequestRetries.create(this.options.retryBudget, call.service.name),
        };
        recordDemand(this.options.demand, call, "offered");
        let isAdmitted = false;
        for (;;) {
            const admitted = await this.acquire(call, progress);
            if (admitted.kind !== "admitted") {
                this.giveUp(call, progress, admitted);
                return;
            }
            if (!isAdmitted) {
                recordDemand(this.options.demand, call, "admitted");
                isAdmitted = true;
            }
            const { upstream } = admitted.slot;
            this.options.metrics.observe("queueWait", admitted.waitedMs);
            const result = await this.attempt(call, admitted.slot, progress);
            const isUnreachable = result.kind === "not-run" && !result.hasArrived;
            (isUnreachable ? progress.unreachableUpstreams : progress.triedUpstreams).add(upstream.id);
            this.options.log.info("attempt ended", {
                request: call.request.id,
                upstream: upstream.id,
                ...attemptLogFields(result),
                fingerprint: result.kind === "broken" ? call.crashSubjects.fingerprint : undefined,
                durationMs: Math.round(this.options.clock.monotonicMs() - call.request.receivedAtMs),
            });
            if (this.handleResult(call, progress, result)) {
                return;
            }
        }
    }

    private acquire(call: ForwardedCall, progress: PlainProgress): Promise<AdmissionOutcome<PlainSlot>> {
        const nowMs = this.options.clock.monotonicMs();
        return this.options.queue.acquire<PlainSlot>({
            pool: call.service.name,
            priority: call.priority,
            onTimeUntilMs: call.request.receivedAtMs + call.route.targetLatencyMs,
            usefulUntilMs: nowMs + (call.deadlineMs - nowMs) * MAX_WAIT_FRACTION,
            tryAcquireSlot: () => this.tryAcquireSlot(call, progress),
            expectedWaitMs: () =>
                this.isBlocked(call) ? Infinity : Math.min(
                    ...this.candidates(call, progress).map(upstream =>
                        this.options.upstreamLimiter.waitMs(upstream, call.service)
                    ),
                ),
        }, AbortSignal.any([call.callerResponse.disconnected, call.deadline]));
    }

    /** Returns true if the request was blocked meanwhile. */
    private isBlocked(call: ForwardedCall): boolean {
        return !call.isTrial && this.options.crashGuard.isBlocked(call.crashSubjects);
    }

    private candidates(call: ForwardedCall, progress: PlainProgress): Upstream[] {
        const { upstreams, avoidedUpstreams, isEvacuated } = this.options;
        const ready = [...upstreams.all()].filter(upstream =>
            upstream.service === call.service.name && upstream.state === "ready" && !isEvacuated(upstream.zone)
        );
        return [...avoidedUpstreams.usable(ready)].filter(upstream =>
            !progress.triedUpstreams.has(upstream.id)
            && !(progress.unreachableUpstreams.has(upstream.id) && avoidedUpstreams.isUnreachable(upstream))
        );
    }

    /** Returns the candidates to which a request may be sent now. */
    private acceptingCandidates(call: ForwardedCall, progress: PlainProgress): Upstream[] {
        const { loads, upstreamLimiter } = this.options;
        return this.candidates(call, progress).filter(upstream =>
            loads.ownLoad(upstream.id).inFlight < upstream.slots
            && upstreamLimiter.canSend(upstream, call.service)
        );
    }

    /**
     * Takes a retry from the budget if another upstream accepts the request now. One that is only silent may go on, so
     * the request is not taken from it for anything less.
     */
    private tryReserveRetry(call: ForwardedCall, progress: PlainProgress, upstream: Upstream): boolean {
        const { loads, avoidedUpstreams } = this.options;
        const isAccepted = this.acceptingCandidates(call, progress).some(other =>
            other.id !== upstream.id && loads.ownLoad(other.id).silentMs <= PLAIN_SILENCE_LIMIT_MS
            && !avoidedUpstreams.isUnreachable(other)
        );
        return isAccepted && progress.retries.tryReserve();
    }

    private tryAcquireSlot(call: ForwardedCall, progress: PlainProgress): PlainSlot | undefined {
        const { loads, upstreamLimiter, avoidedUpstreams } = this.options;
        if (this.isBlocked(call)) {
            return undefined;
        }
        const accepting = this.acceptingCandidates(call, progress).map(upstream => ({
            upstream,
            ...loads.ownLoad(upstream.id),
            failureRate: this.options.failureRates.failureRate(upstream.id),
        }));
        const choice = chooseUpstream(
            accepting,
            this.options.zone,
            this.spilloverOf(call, progress),
            this.options.random,
        );
        if (!choice) {
            return undefined;
        }
        const { upstream, leaveReason } = choice;
        upstreamLimiter.record(upstream);
        avoidedUpstreams.recordAttempt(upstream);
        const trackedRequest = loads.trackRequest(upstream.id, upstream.service, 0, () => undefined);
        return { upstream, leaveReason, trackedRequest };
    }

    /** Returns which share of the requests leaves the zone; undefined where a request is sent once more, or none is decided. */
    private spilloverOf(call: ForwardedCall, progress: PlainProgress): SpilloverDecision | undefined {
        const isRepeated = progress.triedUpstreams.size > 0 || progress.unreachableUpstreams.size > 0;
        return isRepeated ? undefined : this.options.spillover.decidePlain({
            service: call.service.name,
            targetMs: call.route.targetLatencyMs,
            coldRequestsPerSecond: call.service.coldRequestsPerSecond,
            upstreams: () => this.candidates(call, progress),
        });
    }

    private async attempt(call: ForwardedCall, slot: PlainSlot, progress: PlainProgress): Promise<AttemptResult> {
        const { clock, client, failureRates, avoidedUpstreams, idleTimeouts } = this.options;
        const { upstream } = slot;
        const isRepeatable = call.route.kind === "repeatable";
        const canRepeat = isRepeatable && progress.countedAttempts + 1 < call.route.maxAttempts;
        const idleTimeout = new AbortController();
        const idleTimeoutMs = canRepeat ? call.route.targetLatencyMs * RETRY_TIMEOUT_FACTOR : Infinity;
        const idleTimer = idleTimeouts.watch(idleTimeoutMs, () => {
            if (!this.tryReserveRetry(call, progress, upstream)) {
                return idleTimeouts.recheckIntervalMs;
            }
            idleTimeout.abort();
            return undefined;
        });
        // A non-repeatable request continues when its caller disconnects: aborting it would leave its outcome unknown.
        const abortSignals = isRepeatable
            ? [call.callerResponse.disconnected, call.deadline, idleTimeout.signal]
            : [call.deadline];
        const signal = AbortSignal.any(abortSignals);
        this.options.log.info("request admitted", {
            request: call.request.id,
            route: call.route.name,
            configuration: call.configurationVersion,
            upstream: upstream.id,
            viewAgeMs: Math.round(this.options.viewAgeMs()),
            ...this.options.spillover.recordSent(upstream, slot.leaveReason),
            ...this.options.upstreamLimiter.logFields(upstream, call.service),
        });
        try {
            const remainingMs = call.deadlineMs - clock.monotonicMs();
            const { request, account } = call;
            const response = await client.send(upstream, { request, remainingMs, account }, signal);
            if (response.kind === "not-run") {
                failureRates.record(upstream.id, true);
                const hasArrived = response.reason !== "not-connected";
                if (hasArrived) {
                    avoidedUpstreams.recordReached(upstream);
                }
                else {
                    avoidedUpstreams.record(upstream, "not-connected");
                }
                return { kind: "not-run", reason: response.reason, hasArrived };
            }
            if (response.kind === "answered") {
                avoidedUpstreams.recordReached(upstream);
            }
            const body = response.kind === "answered"
                ? await readBody(response.body, undefined, this.options.responseMemory)
                : undefined;
            slot.trackedRequest.recordEvent();
            if (response.kind === "unknown" || body?.kind !== "completed") {
                failureRates.record(upstream.id, true);
                if (call.deadline.aborted || (isRepeatable && call.callerResponse.disconnected.aborted)) {
                    return { kind: "stopped" };
                }
                if (!idleTimeout.signal.aborted) {
                    const instance = `${upstream.id}/${upstream.startedAtMs}`;
                    this.options.crashGuard.recordCrash(call.crashSubjects, instance, call.service.name);
                }
                const reason = response.kind === "unknown" ? response.reason : "the answer ended early";
                return {
                    kind: "broken",
                    reason: idleTimeout.signal.aborted ? "no answer in time" : reason,
                };
            }
            this.options.crashGuard.recordBegun(call.crashSubjects, call.service.name);
            const verdict = judgeResponse(response);
            const hasFailed = verdict !== "success" && verdict !== "final";
            // An upstream whose quick failures counted as good would look like the fastest one.
            failureRates.record(upstream.id, hasFailed);
            if (hasFailed) {
                return createFailedAttempt(verdict, response.head, body.bytes);
            }
            call.callerResponse.sendComplete(response.head, body.bytes);
            if (clock.monotonicMs() > call.request.receivedAtMs + call.route.targetLatencyMs) {
                recordDemand(this.options.demand, call, "late");
            }
            this.options.metrics.observe("answer", clock.monotonicMs() - call.request.receivedAtMs);
            return { kind: "delivered" };
        }
        finally {
            idleTimer.stop();
            slot.trackedRequest.end();
            this.options.queue.admitWaiting();
        }
    }

    /** Decides what follows an attempt; returns true if the request is finished, false if it is to be retried. */
    private handleResult(call: ForwardedCall, progress: PlainProgress, result: AttemptResult): boolean {
        const { metrics } = this.options;
        if (result.kind === "delivered") {
            metrics.count("requests", "delivered");
            return true;
        }
        if (result.kind === "not-run") {
            progress.rejections += result.hasArrived ? 1 : 0;
        }
        else {
            progress.failureAnswer = result.kind === "failure-answer" ? result : progress.failureAnswer;
            progress.mayHaveRun = true;
            progress.countedAttempts += 1;
        }
        if (result.kind === "stopped") {
            this.giveUp(call, progress, { kind: "aborted" });
            return true;
        }
        const mayRepeat = result.kind === "not-run"
            ? progress.rejections < MAX_REJECTIONS
            : call.route.kind === "repeatable" && progress.countedAttempts < call.route.maxAttempts
                && (result.kind !== "broken" || this.options.crashGuard.mayRetry(call.crashSubjects));
        const hasArrived = result.kind !== "not-run" || result.hasArrived;
        if (mayRepeat && (progress.retries.useReserved() || progress.retries.tryTake(hasArrived))) {
            metrics.count("retries", result.kind);
            return false;
        }
        this.fail(call, progress, result.kind === "failure-answer" ? "the upstream failed" : result.reason);
        return true;
    }

    private giveUp(
        call: ForwardedCall,
        progress: PlainProgress,
        outcome: AdmissionOutcome<PlainSlot> & { kind: "refused" | "aborted"; },
    ): void {
        if (call.callerResponse.disconnected.aborted) {
            this.options.metrics.count("requests", "caller gone");
            this.options.log.info("caller disconnected", { request: call.request.id });
            return;
        }
        this.fail(
            call,
            progress,
            outcome.kind === "refused" ? outcome.reason : "the time is over",
            outcome.kind === "refused" ? outcome.retryAfterMs : RETRY_AFTER_MS,
        );
    }

    private fail(call: ForwardedCall, progress: PlainProgress, reason: string, retryAfterMs = RETRY_AFTER_MS): void {
        const { log, metrics } = this.options;
        const { failureAnswer } = progress;
        if (failureAnswer) {
            metrics.count("requests", "failure answer");
            call.callerResponse.sendComplete(failureAnswer.head, failureAnswer.body);
            return;
        }
        log.info("request failed", {
            request: call.request.id,
            reason,
            mayHaveRun: progress.mayHaveRun,
            viewAgeMs: Math.round(this.options.viewAgeMs()),
        });
        if (!progress.mayHaveRun) {
            metrics.count("refusals", reason);
            recordDemand(this.options.demand, call, "refused");
            call.callerResponse.refuse({ kind: "not-run", retryAfterMs, reason });
            return;
        }
        metrics.count("requests", "failed");
        call.callerResponse.refuse(call.deadline.aborted ? { kind: "timed-out" } : { kind: "outcome-unknown", reason });
    }
}

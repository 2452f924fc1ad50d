import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { AdmissionOutcome } from "../placement/AdmissionOutcome.js";
import type { AdmissionQueue } from "../placement/AdmissionQueue.js";
import type { ColdStartLimiter } from "../placement/ColdStartLimiter.js";
import type { FailureRateTracker } from "../placement/FailureRateTracker.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { TrackedRequest } from "../placement/TrackedRequest.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { ForwardedCall } from "./ForwardedCall.js";
import type { IdleTimeoutMonitor } from "./IdleTimeoutMonitor.js";
import { readBody } from "./readBody.js";

/** What a `PlainDispatcher` is made of. */
interface PlainDispatcherOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    queue: AdmissionQueue;
    upstreams: UpstreamDirectory;
    loads: LoadTracker;
    cold: ColdStartLimiter;
    failures: FailureRateTracker;
    retries: RetryBudget;
    idleTimeouts: IdleTimeoutMonitor;
    client: UpstreamClient;
    zone: string;
    isEvacuated: (zone: string) => boolean;
    viewAgeMs: () => number;
}

interface PlainSlot {
    upstream: Upstream;
    trackedRequest: TrackedRequest;
}

interface PlainProgress {
    tried: Set<string>;
    runs: number;
    mayHaveRun: boolean;
    rejections: number;
}

/** Costs that order upstreams, in requests in flight. */
const OTHER_ZONE_COST = 0.9;
const SUSPECT_COST = 20;
const FAILURE_COST = 12;
/** Silence with requests in flight after which an upstream is left to others, ms: several times the usual work. */
const SUSPECT_SILENCE_MS = 400;
/** Part of the route's target after which a repeatable request goes to a second upstream. */
const REPEAT_AFTER_TARGETS = 1.5;
/** Rejections after which a request is refused. */
const MAX_REJECTIONS = 3;
/** Part of the time that is left that a request may spend waiting for a place. */
const WAITING_PART = 0.5;
/** Advice when no upstream takes a request, ms: upstreams come and go within seconds. */
const RETRY_AFTER_MS = 500;

/** Serves requests to plain services: one whole answer each, sent again only where that is safe. */
export class PlainDispatcher {
    private constructor(private readonly options: PlainDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: PlainDispatcherOptions): PlainDispatcher {
        return new PlainDispatcher(options);
    }

    /** Serves one request to its end. */
    async run(call: ForwardedCall): Promise<void> {
        const progress: PlainProgress = { tried: new Set(), runs: 0, mayHaveRun: false, rejections: 0 };
        for (;;) {
            const admitted = await this.acquire(call, progress);
            if (admitted.kind !== "admitted") {
                this.giveUp(call, progress, admitted);
                return;
            }
            const { upstream } = admitted.slot;
            this.options.metrics.observe("queueWait", admitted.waitedMs);
            progress.tried.add(upstream.id);
            const result = await this.attempt(call, admitted.slot, progress);
            this.options.log.info("attempt ended", {
                request: call.request.id,
                upstream: upstream.id,
                outcome: result.kind,
                reason: "reason" in result ? result.reason : undefined,
                durationMs: Math.round(this.options.clock.monotonicMs() - call.request.receivedAtMs),
            });
            if (this.settle(call, progress, result)) {
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
            usefulUntilMs: nowMs + (call.deadlineMs - nowMs) * WAITING_PART,
            tryAcquireSlot: () => this.tryAcquireSlot(call, progress),
            expectedWaitMs: () => this.candidates(call, progress).length > 0 ? 0 : Infinity,
        }, AbortSignal.any([call.callerResponse.disconnected, call.deadline]));
    }

    private candidates(call: ForwardedCall, progress: PlainProgress): Upstream[] {
        return [...this.options.upstreams.all()].filter(upstream =>
            upstream.service === call.service.name && upstream.state === "ready" && !progress.tried.has(upstream.id)
            && !this.options.isEvacuated(upstream.zone)
        );
    }

    private tryAcquireSlot(call: ForwardedCall, progress: PlainProgress): PlainSlot | undefined {
        const { loads, cold, clock } = this.options;
        const nowMs = clock.monotonicMs();
        let best: Upstream | undefined;
        let bestCost = Infinity;
        for (const upstream of this.candidates(call, progress)) {
            const load = loads.ownLoad(upstream.id);
            const isColdAndFull = upstream.coldUntilMs > nowMs && call.service.coldRequestsPerSecond > 0
                && !cold.hasRoom(upstream.id, call.service.coldRequestsPerSecond);
            if (load.inFlight >= upstream.slots || isColdAndFull) {
                continue;
            }
            const cost = load.inFlight
                + (upstream.zone === this.options.zone ? 0 : OTHER_ZONE_COST)
                + (load.silentMs > SUSPECT_SILENCE_MS ? SUSPECT_COST : 0)
                + this.options.failures.failureRate(upstream.id) * FAILURE_COST;
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        if (!best) {
            return undefined;
        }
        if (best.coldUntilMs > nowMs) {
            cold.record(best.id);
        }
        return { upstream: best, trackedRequest: loads.trackRequest(best.id, 0, () => undefined) };
    }

    private async attempt(call: ForwardedCall, slot: PlainSlot, progress: PlainProgress): Promise<AttemptResult> {
        const { clock, client, failures, idleTimeouts } = this.options;
        const { upstream } = slot;
        const isRepeatable = call.route.kind === "repeatable";
        const canRepeat = isRepeatable && progress.runs + 1 < call.route.maxAttempts;
        const silent = new AbortController();
        const limitMs = canRepeat ? call.route.targetLatencyMs * REPEAT_AFTER_TARGETS : Infinity;
        const guarded = idleTimeouts.watch(limitMs, () => {
            silent.abort();
            return undefined;
        });
        // One that may not be repeated runs on when its caller has gone: breaking it off would leave its outcome open.
        const stops = isRepeatable ? [call.callerResponse.disconnected, call.deadline, silent.signal] : [call.deadline];
        const signal = AbortSignal.any(stops);
        this.options.log.info("request placed", {
            request: call.request.id,
            route: call.route.name,
            configuration: call.configurationVersion,
            upstream: upstream.id,
            viewAgeMs: Math.round(this.options.viewAgeMs()),
        });
        try {
            const remainingMs = call.deadlineMs - clock.monotonicMs();
            const { request, account } = call;
            const response = await client.send(upstream, { request, remainingMs, account }, signal);
            if (response.kind === "not-run") {
                failures.record(upstream.id, true);
                return { kind: "not-run", reason: response.reason };
            }
            const body = response.kind === "answered" ? await readBody(response.body) : undefined;
            slot.trackedRequest.recordEvent();
            if (response.kind === "unknown" || body?.kind !== "whole") {
                failures.record(upstream.id, true);
                if (call.deadline.aborted || (isRepeatable && call.callerResponse.disconnected.aborted)) {
                    return { kind: "stopped" };
                }
                const reason = response.kind === "unknown" ? response.reason : "the answer ended early";
                return {
                    kind: "broken",
                    reason: silent.signal.aborted ? "no answer in time" : reason,
                };
            }
            const { status } = response.head;
            failures.record(upstream.id, status >= 500);
            if (status >= 200 && status < 300 && !response.isSigned) {
                return { kind: "broken", reason: "the answer bears no signature" };
            }
            if (status >= 500) {
                return { kind: "failure-answer", head: response.head, body: body.bytes };
            }
            call.callerResponse.sendComplete(response.head, body.bytes);
            this.options.metrics.observe("answer", clock.monotonicMs() - call.request.receivedAtMs);
            return { kind: "delivered" };
        }
        finally {
            guarded.end();
            slot.trackedRequest.end();
            this.options.queue.admitWaiting();
        }
    }

    private settle(call: ForwardedCall, progress: PlainProgress, result: AttemptResult): boolean {
        const { metrics, retries } = this.options;
        if (result.kind === "delivered") {
            metrics.count("requests", "delivered");
            return true;
        }
        if (result.kind === "not-run") {
            progress.rejections += 1;
        }
        else {
            progress.mayHaveRun = true;
            progress.runs += 1;
        }
        if (result.kind === "stopped") {
            this.giveUp(call, progress, { kind: "aborted" });
            return true;
        }
        const mayRepeat = result.kind === "not-run"
            ? progress.rejections < MAX_REJECTIONS
            : call.route.kind === "repeatable" && progress.runs < call.route.maxAttempts;
        if (mayRepeat && retries.tryAcquire(call.service.name)) {
            metrics.count("retries", result.kind);
            return false;
        }
        if (result.kind === "failure-answer") {
            metrics.count("requests", "failure answer");
            call.callerResponse.sendComplete(result.head, result.body);
            return true;
        }
        this.fail(call, progress, result.reason);
        return true;
    }

    private giveUp(
        call: ForwardedCall,
        progress: PlainProgress,
        outcome: AdmissionOutcome<PlainSlot> & { kind: "refused" | "aborted"; },
    ): void {
        if (call.callerResponse.disconnected.aborted) {
            this.options.metrics.count("requests", "caller gone");
            this.options.log.info("caller gone", { request: call.request.id });
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
        log.info("request failed", {
            request: call.request.id,
            reason,
            mayHaveRun: progress.mayHaveRun,
            viewAgeMs: Math.round(this.options.viewAgeMs()),
        });
        if (!progress.mayHaveRun) {
            metrics.count("refusals", reason);
            call.callerResponse.refuse({ kind: "not-run", retryAfterMs, reason });
            return;
        }
        metrics.count("requests", "failed");
        call.callerResponse.refuse(call.deadline.aborted ? { kind: "timed-out" } : { kind: "outcome-unknown", reason });
    }
}

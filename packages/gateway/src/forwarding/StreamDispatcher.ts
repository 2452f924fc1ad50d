import type { Clock, Random } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { AdmissionOutcome } from "../placement/AdmissionOutcome.js";
import type { AdmissionQueue } from "../placement/AdmissionQueue.js";
import { chooseGroup } from "../placement/chooseGroup.js";
import type { ColdStartLimiter } from "../placement/ColdStartLimiter.js";
import type { FailureRateTracker } from "../placement/FailureRateTracker.js";
import type { GroupCandidate } from "../placement/GroupCandidate.js";
import type { GroupDirectory } from "../placement/GroupDirectory.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { SaturatedHeads } from "../placement/SaturatedHeads.js";
import type { TrackedRequest } from "../placement/TrackedRequest.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { AttemptResult } from "./AttemptResult.js";
import { EventFramer } from "./EventFramer.js";
import type { ForwardedCall } from "./ForwardedCall.js";
import type { IdleTimeoutMonitor } from "./IdleTimeoutMonitor.js";
import { readBody } from "./readBody.js";

/** What a `StreamDispatcher` is made of. */
interface StreamDispatcherOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    queue: AdmissionQueue;
    groups: GroupDirectory;
    loads: LoadTracker;
    cold: ColdStartLimiter;
    failures: FailureRateTracker;
    saturatedHeads: SaturatedHeads;
    retries: RetryBudget;
    idleTimeouts: IdleTimeoutMonitor;
    client: UpstreamClient;
    zone: string;
    /** Time since the view of upstreams was last heard, ms. */
    viewAgeMs: () => number;
    random: Random;
    /** Gateways that place requests at the same groups. */
    gatewayCount: () => number;
}

/** A place at a group, counted in. */
interface GroupSlot {
    candidate: GroupCandidate;
    firstEventMs: number;
    trackedRequest: TrackedRequest;
    lost: AbortController;
    /** The sending had no event, and ended before the engine could have finished a pass or because its group was lost. */
    hasNotStarted?: boolean;
}

/** How far a stream has come. */
interface StreamProgress {
    lastEventId?: string;
    hasEvents: boolean;
    /** Sendings that an engine has begun to answer, or may have. */
    countedRuns: number;
    mayHaveRun: boolean;
    /** Heads that did not run it. */
    rejections: number;
}

/**
 * Longest wait for a stream's first event beyond the prediction, ms. A group that reads others' prompts needs some
 * hundred ms; callers give up after two seconds.
 */
const FIRST_EVENT_MARGIN_MS = 900;
/** A group counts as alive whose last event anywhere is not older, ms: its longest passes, and the way of loads. */
const LIVE_SILENCE_MS = 500;
/**
 * How much longer a busy group may take until the first event, ms: callers give up after two seconds. Another group is
 * quicker if it is expected to begin within half of it.
 */
const BUSY_EXTENSION_MS = 700;
/** Up to this many gateways compare all groups: they hear of each other's requests within a tenth of a second. */
const COMPARING_GATEWAYS = 12;
/** Groups that are compared by each of more gateways. */
const COMPARED_GROUPS = 3;
/** Longest pause between two events, ms: several of the longest passes, and well under the callers' two seconds. */
const PAUSE_LIMIT_MS = 750;
/** A stream cannot have its first event sooner, ms: the shortest pass of an engine. */
const SHORTEST_RUN_MS = 20;
/** Rejections after which a request is refused: the view is wrong about more than one group, or all are full. */
const MAX_REJECTIONS = 3;
/** Time in which a group that is being formed can be expected to open, ms: warm joins take about a second. */
const FORMING_OUTLOOK_MS = 800;
/** Part of the time that is left that a request may spend waiting; the rest is for the answer itself. */
const WAITING_PART = 0.45;

/** Serves streams: waits for a place at a group, forwards events as they come, goes on elsewhere when one breaks. */
export class StreamDispatcher {
    private constructor(private readonly options: StreamDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: StreamDispatcherOptions): StreamDispatcher {
        return new StreamDispatcher(options);
    }

    /** Serves one request to its end. */
    async run(call: ForwardedCall, engine: EngineProfile): Promise<void> {
        const progress: StreamProgress = {
            lastEventId: call.request.lastEventId,
            hasEvents: false,
            countedRuns: 0,
            mayHaveRun: false,
            rejections: 0,
        };
        for (;;) {
            const admitted = await this.acquire(call, engine, progress);
            if (admitted.kind !== "admitted") {
                this.giveUp(call, progress, admitted);
                return;
            }
            this.options.metrics.observe("queueWait", admitted.waitedMs);
            const result = await this.attempt(call, engine, admitted.slot, progress);
            if (this.settle(call, progress, admitted.slot, result)) {
                return;
            }
        }
    }

    private acquire(
        call: ForwardedCall,
        engine: EngineProfile,
        progress: StreamProgress,
    ): Promise<AdmissionOutcome<GroupSlot>> {
        const { clock, queue, groups } = this.options;
        const nowMs = clock.monotonicMs();
        const { request, route, service } = call;
        return queue.acquire<GroupSlot>({
            pool: `${service.name}/${request.model ?? ""}`,
            // A stream that has begun goes on before others start.
            priority: progress.hasEvents ? -1 : call.priority,
            onTimeUntilMs: request.receivedAtMs + route.targetLatencyMs,
            usefulUntilMs: nowMs + (call.deadlineMs - nowMs) * WAITING_PART,
            tryAcquireSlot: () => this.tryAcquireSlot(call, engine),
            expectedWaitMs: () => {
                if (groups.hasOpen(service.name, engine, request.model)) {
                    return 0;
                }
                return groups.isForming(service.name, request.model) ? FORMING_OUTLOOK_MS : Infinity;
            },
        }, AbortSignal.any([call.callerResponse.disconnected, call.deadline]));
    }

    private candidates({ request, service }: ForwardedCall, engine: EngineProfile): GroupCandidate[] {
        const { groups, cold, saturatedHeads, clock } = this.options;
        const nowMs = clock.monotonicMs();
        return groups.candidates(service.name, engine, request.model).filter(({ head }) =>
            !saturatedHeads.isSaturated(head.id)
            && (head.coldUntilMs <= nowMs || cold.hasRoom(head.id, service.coldRequestsPerSecond))
        );
    }

    private placedRequest({ request, route }: ForwardedCall): Parameters<typeof chooseGroup>[2] {
        return { zone: this.options.zone, promptTokens: request.promptTokens, targetGapMs: route.targetGapMs };
    }

    /** True if another group can be expected to read the prompt and begin before a busy one does. */
    private hasQuickerGroup(call: ForwardedCall, engine: EngineProfile, busyHead: string): boolean {
        const others = this.candidates(call, engine).filter(({ head }) => head.id !== busyHead);
        const choice = chooseGroup(engine, others, this.placedRequest(call));
        return choice !== undefined && choice.firstEventMs < BUSY_EXTENSION_MS / 2;
    }

    private tryAcquireSlot(call: ForwardedCall, engine: EngineProfile): GroupSlot | undefined {
        const { loads, cold, clock, random, gatewayCount } = this.options;
        const { request } = call;
        const nowMs = clock.monotonicMs();
        const candidates = this.candidates(call, engine);
        const choice = chooseGroup(
            engine,
            candidates,
            this.placedRequest(call),
            gatewayCount() > COMPARING_GATEWAYS ? { count: COMPARED_GROUPS, random } : undefined,
        );
        if (!choice) {
            return undefined;
        }
        const { head, epoch } = choice.candidate;
        if (head.coldUntilMs > nowMs) {
            cold.record(head.id);
        }
        const lost = new AbortController();
        const trackedRequest = loads.trackRequest(String(epoch), request.promptTokens, reason => lost.abort(reason));
        return { ...choice, trackedRequest, lost };
    }

    private async attempt(
        call: ForwardedCall,
        engine: EngineProfile,
        slot: GroupSlot,
        progress: StreamProgress,
    ): Promise<AttemptResult> {
        const { clock, client, idleTimeouts, failures, saturatedHeads, loads } = this.options;
        const { head, epoch } = slot.candidate;
        this.logPlaced(call, slot, progress);
        const silent = new AbortController();
        const sentAtMs = clock.monotonicMs();
        let hasEvents = false;
        let isPatient = true;
        const guarded = idleTimeouts.watch(slot.firstEventMs + FIRST_EVENT_MARGIN_MS, () => {
            const isAlive = loads.totalLoad(String(epoch)).silentMs < LIVE_SILENCE_MS;
            if (isPatient && !hasEvents && isAlive && !this.hasQuickerGroup(call, engine, head.id)) {
                isPatient = false;
                return BUSY_EXTENSION_MS;
            }
            silent.abort();
            return undefined;
        });
        const signal = AbortSignal.any([
            call.callerResponse.disconnected,
            call.deadline,
            slot.lost.signal,
            silent.signal,
        ]);
        try {
            const response = await client.send(head, {
                request: call.request,
                remainingMs: call.deadlineMs - clock.monotonicMs(),
                account: call.account,
                resumeAfter: progress.lastEventId,
            }, signal);
            if (response.kind === "not-run") {
                failures.record(head.id, true);
                if (response.reason === "overloaded") {
                    saturatedHeads.record(head.id);
                }
                return { kind: "not-run", reason: response.reason };
            }
            if (response.kind === "unknown") {
                return this.broken(call, slot, silent.signal, response.reason);
            }
            if (response.head.status < 200 || response.head.status > 299 || !response.isSigned) {
                const body = await readBody(response.body);
                failures.record(head.id, true);
                return body.kind === "whole" && response.head.status >= 300
                    ? { kind: "failure-answer", head: response.head, body: body.bytes }
                    : { kind: "broken", reason: "unusable answer" };
            }
            const framer = EventFramer.create();
            for await (const part of response.body) {
                const events = framer.push(part);
                if (!events) {
                    continue;
                }
                guarded.touch(PAUSE_LIMIT_MS);
                slot.trackedRequest.recordEvent();
                if (!call.callerResponse.hasStarted) {
                    call.callerResponse.start(response.head);
                    this.options.metrics.observe("firstEvent", clock.monotonicMs() - call.request.receivedAtMs);
                }
                hasEvents = true;
                progress.hasEvents = true;
                progress.lastEventId = framer.lastEventId ?? progress.lastEventId;
                await call.callerResponse.write(events.bytes);
            }
            if (framer.hasRest || signal.aborted) {
                return this.broken(call, slot, silent.signal, "the stream ended inside an event");
            }
            if (!call.callerResponse.hasStarted) {
                call.callerResponse.start(response.head);
            }
            call.callerResponse.end();
            failures.record(head.id, false);
            return { kind: "delivered" };
        }
        catch (error) {
            return this.broken(call, slot, silent.signal, error instanceof Error ? error.message : String(error));
        }
        finally {
            guarded.end();
            const wasTooShort = clock.monotonicMs() - sentAtMs < SHORTEST_RUN_MS;
            slot.hasNotStarted = !hasEvents && (wasTooShort || slot.lost.signal.aborted);
            slot.trackedRequest.end();
            this.options.queue.admitWaiting();
        }
    }

    private broken(call: ForwardedCall, slot: GroupSlot, silent: AbortSignal, reason: string): AttemptResult {
        if (call.callerResponse.disconnected.aborted || call.deadline.aborted) {
            return { kind: "stopped" };
        }
        if (!slot.lost.signal.aborted) {
            this.options.failures.record(slot.candidate.head.id, true);
        }
        const cause = slot.lost.signal.aborted
            ? String(slot.lost.signal.reason)
            : silent.aborted
            ? "silent for too long"
            : reason;
        return { kind: "broken", reason: cause };
    }

    /** Decides what follows an attempt; true: the request has its final answer. */
    private settle(
        call: ForwardedCall,
        progress: StreamProgress,
        slot: GroupSlot,
        result: AttemptResult,
    ): boolean {
        this.logEnded(call, slot, progress, result);
        if (result.kind === "delivered") {
            this.options.metrics.count("requests", "delivered");
            return true;
        }
        if (result.kind === "stopped") {
            progress.mayHaveRun = true;
            this.giveUp(call, progress, { kind: "aborted" });
            return true;
        }
        if (result.kind === "not-run") {
            progress.rejections += 1;
        }
        else {
            progress.mayHaveRun = true;
            progress.countedRuns += slot.hasNotStarted ? 0 : 1;
        }
        const isRepeatable = call.route.isResumable || result.kind === "not-run";
        const hasTries = progress.countedRuns < call.route.maxAttempts && progress.rejections < MAX_REJECTIONS;
        if (isRepeatable && hasTries && this.options.retries.tryAcquire(call.service.name)) {
            this.options.metrics.count("retries", result.kind);
            return false;
        }
        if (result.kind === "failure-answer" && !call.callerResponse.hasStarted) {
            call.callerResponse.sendComplete(result.head, result.body);
            this.options.metrics.count("requests", "failure answer");
            return true;
        }
        const reason = result.kind === "failure-answer" ? "the upstream failed" : result.reason;
        this.fail(call, progress, reason);
        return true;
    }

    private giveUp(
        call: ForwardedCall,
        progress: StreamProgress,
        outcome: AdmissionOutcome<GroupSlot> & { kind: "refused" | "aborted"; },
    ): void {
        const { log, metrics } = this.options;
        if (call.callerResponse.disconnected.aborted) {
            metrics.count("requests", "caller gone");
            log.info("caller gone", { request: call.request.id });
            return;
        }
        if (outcome.kind === "refused" && !progress.mayHaveRun) {
            metrics.count("refusals", outcome.reason);
            log.info("request refused", {
                request: call.request.id,
                reason: outcome.reason,
                retryAfterMs: Math.round(outcome.retryAfterMs),
                viewAgeMs: Math.round(this.options.viewAgeMs()),
            });
            call.callerResponse.refuse({ kind: "not-run", retryAfterMs: outcome.retryAfterMs, reason: outcome.reason });
            return;
        }
        this.fail(call, progress, outcome.kind === "refused" ? outcome.reason : "the time is over");
    }

    private fail(call: ForwardedCall, progress: StreamProgress, reason: string): void {
        this.options.metrics.count("requests", "failed");
        this.options.log.info("request failed", {
            request: call.request.id,
            reason,
            hasBegun: call.callerResponse.hasStarted,
        });
        if (call.callerResponse.hasStarted) {
            call.callerResponse.abort();
        }
        else if (!progress.mayHaveRun) {
            call.callerResponse.refuse({ kind: "not-run", retryAfterMs: FORMING_OUTLOOK_MS, reason });
        }
        else {
            call.callerResponse.refuse(
                call.deadline.aborted ? { kind: "timed-out" } : { kind: "outcome-unknown", reason },
            );
        }
    }

    private logPlaced(call: ForwardedCall, slot: GroupSlot, progress: StreamProgress): void {
        const { candidate } = slot;
        this.options.log.info("request placed", {
            request: call.request.id,
            route: call.route.name,
            configuration: call.configurationVersion,
            upstream: candidate.head.id,
            epoch: candidate.epoch,
            inFlight: candidate.load.inFlight,
            unreadTokens: candidate.load.pendingPrefillTokens,
            predictedMs: Math.round(slot.firstEventMs),
            waitedMs: Math.round(this.options.clock.monotonicMs() - call.request.receivedAtMs),
            viewAgeMs: Math.round(this.options.viewAgeMs()),
            resumeAfter: progress.lastEventId,
        });
    }

    private logEnded(call: ForwardedCall, slot: GroupSlot, progress: StreamProgress, result: AttemptResult): void {
        this.options.log.info("attempt ended", {
            request: call.request.id,
            upstream: slot.candidate.head.id,
            epoch: slot.candidate.epoch,
            outcome: result.kind,
            reason: "reason" in result ? result.reason : undefined,
            lastEventId: progress.lastEventId,
            durationMs: Math.round(this.options.clock.monotonicMs() - call.request.receivedAtMs),
        });
    }
}

import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import type { AdmissionQueue } from "../admission/AdmissionQueue.js";
import { createAdmissionRefusal } from "../admission/createAdmissionRefusal.js";
import { createRefusal } from "../createRefusal.js";
import type { RetryBudget } from "../generation/RetryBudget.js";
import type { ServiceClient } from "../ports/ServiceClient.js";
import type { ZoneForwarder } from "../ports/ZoneForwarder.js";
import type { EndpointSelector } from "../routing/EndpointSelector.js";
import type { EndpointSlot } from "../routing/EndpointSlot.js";
import type { PeerSelector } from "../routing/PeerSelector.js";
import type { PeerSlot } from "../routing/PeerSlot.js";
import { Deadline } from "../util/Deadline.js";
import type { ServiceCall } from "./ServiceCall.js";
import type { ServiceOutcome } from "./ServiceOutcome.js";
import type { ServiceResult } from "./ServiceResult.js";

interface ServiceDispatcherOptions {
    clock: Clock;
    events: EventRecorder;
    metrics: Metrics;
    queue: AdmissionQueue;
    endpoints: EndpointSelector;
    peers: PeerSelector;
    budget: RetryBudget;
    services: ServiceClient;
    forwarder: ZoneForwarder;
    /** Availability zone of this router. */
    zone: string;
}

interface Progress {
    call: ServiceCall;
    isAdmitted: boolean;
    failed: Set<string>;
    ran: "no" | "unknown";
    /** When the call began or an attempt last ended without an answer. */
    progressedMs: number;
}

/** A call is given up when nothing could take it for this long. */
const PATIENCE_MS = 2000;
/** A call that finds its own zone full waits this long there before it goes to another. */
const SPILL_AFTER_MS = 100;
/** Pause before a further attempt. */
const RETRY_PAUSE_MS = 20;
/** A peer that refused or broke without saying for how long is left alone this long. */
const PEER_PAUSE_MS = 500;

/** Sends plain service calls: waits for a place, sends, and sends again only where that is safe. */
export class ServiceDispatcher {
    private constructor(private readonly options: ServiceDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: ServiceDispatcherOptions): ServiceDispatcher {
        return new ServiceDispatcher(options);
    }

    /**
     * Serves a call to its end. The refusal's `ran` speaks of this call's own attempts alone. One that is not repeatable
     * is not sent again after an unknown outcome, and runs on when its caller goes, so that a repeat finds its answer.
     */
    async run(call: ServiceCall, repeatable: boolean, signal: AbortSignal): Promise<ServiceResult> {
        const deadline = Deadline.create(this.options.clock, call.deadlineMs);
        const progress: Progress = {
            call,
            isAdmitted: false,
            failed: new Set(),
            ran: "no",
            progressedMs: this.options.clock.monotonicMs(),
        };
        const result = await this.attempts(progress, repeatable, signal, deadline.signal);
        deadline.end();
        if (progress.isAdmitted && call.origin === "caller") {
            this.options.queue.callEnded(call.caller.account);
        }
        return result;
    }

    private async attempts(
        progress: Progress,
        repeatable: boolean,
        callerSignal: AbortSignal,
        deadlineSignal: AbortSignal,
    ): Promise<ServiceResult> {
        const signal = AbortSignal.any([callerSignal, deadlineSignal]);
        const sendSignal = repeatable ? signal : deadlineSignal;
        for (;;) {
            const placed = await this.waitForPlace(progress, signal);
            if (placed.kind !== "admitted") {
                return { kind: "refused", refusal: createAdmissionRefusal(placed, progress.ran, callerSignal) };
            }
            progress.isAdmitted = true;
            const outcome = await this.send(progress.call, placed.slot, sendSignal);
            this.release(progress.call, placed.slot, outcome);
            const result = this.settle(progress, repeatable, placed.slot, outcome, signal, callerSignal);
            if (result) {
                return result;
            }
            await this.options.clock.sleep(RETRY_PAUSE_MS, signal);
        }
    }

    private async waitForPlace(progress: Progress, signal: AbortSignal) {
        const { call } = progress;
        const queuedMs = this.options.clock.monotonicMs();
        this.options.events.record({ kind: "request-queued", requestId: call.request.requestId });
        return this.options.queue.acquire<EndpointSlot | PeerSlot>({
            pool: poolOf(call),
            caller: call.caller,
            sizeBytes: call.request.body.byteLength,
            deadlineMs: call.deadlineMs,
            wasAdmitted: progress.isAdmitted,
            countsForAccount: call.origin === "caller",
            tryAcquireSlot: () => this.place(progress, queuedMs),
            shouldGiveUp: () => this.isHopeless(progress),
        }, signal);
    }

    private place(progress: Progress, queuedMs: number): EndpointSlot | PeerSlot | undefined {
        const { call, failed } = progress;
        const own = this.options.endpoints.place(call.service, failed);
        if (own || call.origin === "peer") {
            return own;
        }
        const hasWaited = this.options.clock.monotonicMs() - queuedMs >= SPILL_AFTER_MS;
        return hasWaited || !this.options.endpoints.hasOpen(call.service)
            ? this.placeAtPeer(call)
            : undefined;
    }

    /** A router of the own zone whose share has a free slot goes before another zone. */
    private placeAtPeer(call: ServiceCall): PeerSlot | undefined {
        const { endpoints, peers, zone } = this.options;
        const own = endpoints.hasOpen(call.service) ? peers.tryAcquire(poolOf(call), new Set([zone])) : undefined;
        return own ?? peers.tryAcquire(poolOf(call), endpoints.otherZones(call.service));
    }

    private isHopeless({ call, progressedMs }: Progress): boolean {
        const isServedHere = this.options.endpoints.hasOpen(call.service);
        if (call.origin === "peer") {
            return !isServedHere || call.onlyIfFree === true;
        }
        return !isServedHere && (
            this.options.clock.monotonicMs() - progressedMs >= PATIENCE_MS
            && !this.options.peers.hasEligible(poolOf(call), this.options.endpoints.otherZones(call.service))
        );
    }

    private async send(
        call: ServiceCall,
        place: EndpointSlot | PeerSlot,
        signal: AbortSignal,
    ): Promise<ServiceOutcome> {
        if (signal.aborted) {
            return { kind: "did-not-run", reason: "given-up" };
        }
        const { requestId } = call.request;
        if (place.kind === "endpoint") {
            if (!this.options.endpoints.isOpen(call.service, place)) {
                return { kind: "did-not-run", reason: "endpoint-closed" };
            }
            this.options.events.record({ kind: "request-dispatched", requestId, reason: place.endpoint });
            return this.options.services.call(place.url, call.path, call.request, signal);
        }
        this.options.events.record({ kind: "request-forwarded", requestId, zone: place.peer.zone });
        return this.options.forwarder.callService(place.peer, {
            clientAccount: call.caller.account,
            route: call.route,
            request: call.request,
            remainingMs: Math.max(1, Math.floor(call.deadlineMs - this.options.clock.monotonicMs())),
            onlyIfFree: place.peer.zone === this.options.zone,
        }, signal);
    }

    private release(
        call: ServiceCall,
        place: EndpointSlot | PeerSlot,
        outcome: ServiceOutcome,
    ): void {
        if (place.kind === "endpoint") {
            place.lease.release(leaseResult(outcome));
        }
        else {
            const pauseMs = outcome.kind === "did-not-run" ? outcome.retryAfterMs : undefined;
            place.release(outcome.kind === "answered" ? undefined : pauseMs ?? PEER_PAUSE_MS);
        }
        this.options.queue.slotReleased(poolOf(call));
    }

    private settle(
        progress: Progress,
        repeatable: boolean,
        place: EndpointSlot | PeerSlot,
        outcome: ServiceOutcome,
        signal: AbortSignal,
        callerSignal: AbortSignal,
    ): ServiceResult | undefined {
        const { call } = progress;
        if (outcome.kind === "answered") {
            this.options.budget.recordSuccess(call.caller.account);
            return outcome;
        }
        if (outcome.kind === "outcome-unknown") {
            progress.ran = "unknown";
            progress.progressedMs = this.options.clock.monotonicMs();
        }
        if (signal.aborted) {
            const type = callerSignal.aborted ? "caller-gone" : "deadline";
            return { kind: "refused", refusal: createRefusal(type, progress.ran) };
        }
        if (outcome.kind === "outcome-unknown" && !repeatable) {
            return { kind: "refused", refusal: createRefusal("outcome-unknown", "unknown") };
        }
        if (!this.options.budget.trySpend(call.caller.account)) {
            const refusal = createRefusal("no-upstream", progress.ran, { retryAfterMs: 1000 });
            return { kind: "refused", refusal };
        }
        if (place.kind === "endpoint") {
            progress.failed.add(place.endpoint);
        }
        this.options.events.record({
            kind: "request-retried",
            requestId: call.request.requestId,
            reason: outcome.reason,
        });
        this.options.metrics.increment("service_retries", 1, { reason: outcome.reason });
        return undefined;
    }
}

function poolOf(call: ServiceCall): string {
    return `service ${call.service}`;
}

function leaseResult(outcome: ServiceOutcome) {
    const results = {
        "answered": { kind: "completed" },
        "did-not-run": { kind: "overloaded" },
        "outcome-unknown": { kind: "reset" },
    } as const;
    return results[outcome.kind];
}

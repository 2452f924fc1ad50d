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
    wasAdmitted: boolean;
    failedEndpoints: Set<string>;
    ran: "no" | "unknown";
    /** When the call began or an attempt last ended with an unknown outcome; the wait limit counts from here. */
    waitingSinceMs: number;
}

/** A call is refused when no upstream could serve it for this long. */
const WAIT_LIMIT_MS = 2000;
/** How long a call waits for a slot in this router's zone before it may be sent to another zone. */
const SPILL_AFTER_MS = 100;
const RETRY_PAUSE_MS = 20;
/** Pause before a peer is used again after a failed call without a retry-after delay. */
const PEER_PAUSE_MS = 500;

/** Sends plain service calls: waits for a slot, sends, and sends again only where that is safe. */
export class ServiceDispatcher {
    private constructor(private readonly options: ServiceDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: ServiceDispatcherOptions): ServiceDispatcher {
        return new ServiceDispatcher(options);
    }

    /**
     * Serves a call to its end. A refusal's `ran` covers only the attempts of this call. A call that is not repeatable
     * is not sent again after an unknown outcome, and continues when its caller disconnects, so that a repeat finds its
     * response.
     */
    async run(call: ServiceCall, repeatable: boolean, signal: AbortSignal): Promise<ServiceResult> {
        const deadline = Deadline.create(this.options.clock, call.deadlineMs);
        const progress: Progress = {
            call,
            wasAdmitted: false,
            failedEndpoints: new Set(),
            ran: "no",
            waitingSinceMs: this.options.clock.monotonicMs(),
        };
        const result = await this.runAttempts(progress, repeatable, signal, deadline.signal);
        deadline.end();
        if (progress.wasAdmitted && call.origin === "caller") {
            this.options.queue.callEnded(call.caller.account);
        }
        return result;
    }

    private async runAttempts(
        progress: Progress,
        repeatable: boolean,
        callerSignal: AbortSignal,
        deadlineSignal: AbortSignal,
    ): Promise<ServiceResult> {
        const signal = AbortSignal.any([callerSignal, deadlineSignal]);
        const sendSignal = repeatable ? signal : deadlineSignal;
        for (;;) {
            const admission = await this.waitForSlot(progress, signal);
            if (admission.kind !== "admitted") {
                return { kind: "refused", refusal: createAdmissionRefusal(admission, progress.ran, callerSignal) };
            }
            progress.wasAdmitted = true;
            const outcome = await this.send(progress.call, admission.slot, sendSignal);
            this.release(progress.call, admission.slot, outcome);
            const result = this.handleOutcome(progress, repeatable, admission.slot, outcome, signal, callerSignal);
            if (result) {
                return result;
            }
            await this.options.clock.sleep(RETRY_PAUSE_MS, signal);
        }
    }

    private async waitForSlot(progress: Progress, signal: AbortSignal) {
        const { call } = progress;
        const queuedMs = this.options.clock.monotonicMs();
        this.options.events.record({ kind: "request-queued", requestId: call.request.requestId });
        return this.options.queue.acquire<EndpointSlot | PeerSlot>({
            pool: poolOf(call),
            caller: call.caller,
            sizeBytes: call.request.body.byteLength,
            deadlineMs: call.deadlineMs,
            wasAdmitted: progress.wasAdmitted,
            countsForAccount: call.origin === "caller",
            tryAcquireSlot: () => this.tryAcquireSlot(progress, queuedMs),
            shouldGiveUp: () => this.shouldGiveUp(progress),
        }, signal);
    }

    private tryAcquireSlot(progress: Progress, queuedMs: number): EndpointSlot | PeerSlot | undefined {
        const { call, failedEndpoints } = progress;
        const ownZoneSlot = this.options.endpoints.tryAcquire(call.service, failedEndpoints);
        if (ownZoneSlot || call.origin === "peer") {
            return ownZoneSlot;
        }
        const hasWaited = this.options.clock.monotonicMs() - queuedMs >= SPILL_AFTER_MS;
        return hasWaited || !this.options.endpoints.hasOpen(call.service)
            ? this.tryAcquirePeerSlot(call)
            : undefined;
    }

    /** Prefers a router of this zone whose share has a free slot to a router of another zone. */
    private tryAcquirePeerSlot(call: ServiceCall): PeerSlot | undefined {
        const { endpoints, peers, zone } = this.options;
        const ownZoneSlot = endpoints.hasOpen(call.service)
            ? peers.tryAcquire(poolOf(call), new Set([zone]))
            : undefined;
        return ownZoneSlot ?? peers.tryAcquire(poolOf(call), endpoints.otherZones(call.service));
    }

    private shouldGiveUp({ call, waitingSinceMs }: Progress): boolean {
        if (call.origin === "peer") {
            return !this.options.endpoints.hasShare(call.service) || call.onlyIfFree === true;
        }
        return !this.options.endpoints.hasOpen(call.service) && (
            this.options.clock.monotonicMs() - waitingSinceMs >= WAIT_LIMIT_MS
            && !this.options.peers.hasEligible(poolOf(call), this.options.endpoints.otherZones(call.service))
        );
    }

    private async send(
        call: ServiceCall,
        slot: EndpointSlot | PeerSlot,
        signal: AbortSignal,
    ): Promise<ServiceOutcome> {
        if (signal.aborted) {
            return { kind: "did-not-run", reason: "given-up" };
        }
        const { requestId } = call.request;
        if (slot.kind === "endpoint") {
            if (!this.options.endpoints.isOpen(call.service, slot)) {
                return { kind: "did-not-run", reason: "endpoint-closed" };
            }
            this.options.events.record({ kind: "request-dispatched", requestId, reason: slot.endpoint });
            return this.options.services.call(slot.url, call.path, call.request, signal);
        }
        this.options.events.record({ kind: "request-forwarded", requestId, zone: slot.peer.zone });
        return this.options.forwarder.callService(slot.peer, {
            clientAccount: call.caller.account,
            route: call.route,
            request: call.request,
            remainingMs: Math.max(1, Math.floor(call.deadlineMs - this.options.clock.monotonicMs())),
            onlyIfFree: slot.peer.zone === this.options.zone,
        }, signal);
    }

    private release(
        call: ServiceCall,
        slot: EndpointSlot | PeerSlot,
        outcome: ServiceOutcome,
    ): void {
        if (slot.kind === "endpoint") {
            slot.lease.release(leaseResultOf(outcome));
        }
        else {
            const pauseMs = outcome.kind === "did-not-run" ? outcome.retryAfterMs : undefined;
            slot.release(outcome.kind === "answered" ? undefined : pauseMs ?? PEER_PAUSE_MS);
        }
        this.options.queue.slotReleased(poolOf(call));
    }

    private handleOutcome(
        progress: Progress,
        repeatable: boolean,
        slot: EndpointSlot | PeerSlot,
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
            progress.waitingSinceMs = this.options.clock.monotonicMs();
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
        if (slot.kind === "endpoint") {
            progress.failedEndpoints.add(slot.endpoint);
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

function leaseResultOf(outcome: ServiceOutcome) {
    const results = {
        "answered": { kind: "completed" },
        "did-not-run": { kind: "overloaded" },
        "outcome-unknown": { kind: "reset" },
    } as const;
    return results[outcome.kind];
}

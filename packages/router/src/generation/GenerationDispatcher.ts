import type { ConfigurationView, EvidenceView } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import type { AdmissionQueue } from "../admission/AdmissionQueue.js";
import { createAdmissionRefusal } from "../admission/createAdmissionRefusal.js";
import { createRefusal } from "../createRefusal.js";
import type { Refusal } from "../Refusal.js";
import type { GroupSelector } from "../routing/GroupSelector.js";
import type { GroupSlot } from "../routing/GroupSlot.js";
import type { PeerSelector } from "../routing/PeerSelector.js";
import type { PeerSlot } from "../routing/PeerSlot.js";
import { Deadline } from "../util/Deadline.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationAttemptRunner } from "./GenerationAttemptRunner.js";
import type { GenerationCall } from "./GenerationCall.js";
import type { GenerationOutcome } from "./GenerationOutcome.js";
import { GenerationProgress } from "./GenerationProgress.js";
import { leaseResultOf } from "./leaseResultOf.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { TokenSink } from "./TokenSink.js";

interface GenerationDispatcherOptions {
    clock: Clock;
    events: EventRecorder;
    metrics: Metrics;
    configuration: ConfigurationView;
    evidence: EvidenceView;
    queue: AdmissionQueue;
    selector: GroupSelector;
    peers: PeerSelector;
    budget: RetryBudget;
    attemptRunner: GenerationAttemptRunner;
    /** Availability zone of this router. */
    zone: string;
}

/** How long a call waits for a slot in this router's zone before it may be sent to another zone. */
const SPILL_AFTER_MS = 100;
/** Pause before a peer is used again after a broken stream, or a refusal without a retry-after delay. */
const PEER_PAUSE_MS = 500;
/** Pause before a further attempt once attempts failed repeatedly at the same group or peer. */
const RETRY_PAUSE_MS = 50;
/** A call is refused when no upstream could serve it for this long. */
const START_WAIT_LIMIT_MS = 2000;
/** Longer than for a new call, so that a response in progress can be resumed by another replica. */
const RESUME_WAIT_LIMIT_MS = 15_000;
/** Refusal reasons that show the evidence for the group's head to be out of date. */
const staleEvidenceReasons: ReadonlySet<string> = new Set(["wrong-epoch", "member-missing", "not-ready"]);

/** Serves generations: waits for a slot, runs attempts, and resumes a broken response until it is complete. */
export class GenerationDispatcher {
    private constructor(private readonly options: GenerationDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: GenerationDispatcherOptions): GenerationDispatcher {
        return new GenerationDispatcher(options);
    }

    /** Serves a call to its end. The sink gets each token once and in order, even if attempts fail in between. */
    async run(call: GenerationCall, sink: TokenSink, signal: AbortSignal): Promise<GenerationOutcome> {
        const deadline = Deadline.create(this.options.clock, call.deadlineMs);
        const progress = GenerationProgress.create(call, this.options.clock.monotonicMs());
        const outcome = await this.runAttempts(progress, sink, AbortSignal.any([signal, deadline.signal]), signal);
        deadline.end();
        if (progress.wasAdmitted && call.origin === "caller") {
            this.options.queue.callEnded(call.caller.account);
        }
        return outcome;
    }

    private async runAttempts(
        progress: GenerationProgress,
        sink: TokenSink,
        signal: AbortSignal,
        callerSignal: AbortSignal,
    ): Promise<GenerationOutcome> {
        for (;;) {
            const admission = await this.waitForSlot(progress, signal);
            if (admission.kind !== "admitted") {
                return { kind: "refused", refusal: createAdmissionRefusal(admission, progress.ran, callerSignal) };
            }
            progress.wasAdmitted = true;
            const startedMs = this.options.clock.monotonicMs();
            const indexBefore = progress.sequence.next;
            const outcome = await this.options.attemptRunner.run(
                admission.slot,
                progress.call,
                progress.sequence,
                sink,
                signal,
            );
            this.release(admission.slot, progress, outcome);
            progress.recordAttempt(outcome, admission.slot, this.options.clock.monotonicMs());
            if (outcome.kind === "finished") {
                this.recordSuccess(admission.slot, progress, indexBefore, startedMs);
                return outcome;
            }
            const refusal = await this.refuseOrPause(admission.slot, progress, outcome, signal, callerSignal);
            if (refusal) {
                return { kind: "refused", refusal };
            }
        }
    }

    private async waitForSlot(progress: GenerationProgress, signal: AbortSignal) {
        const { call } = progress;
        if (!progress.wasAdmitted) {
            this.options.events.record({ kind: "request-queued", requestId: call.requestId });
        }
        const queuedMs = this.options.clock.monotonicMs();
        return this.options.queue.acquire<GroupSlot | PeerSlot>({
            pool: call.modelVersion,
            caller: call.caller,
            sizeBytes: call.prompt.length * 2,
            deadlineMs: call.deadlineMs,
            wasAdmitted: progress.wasAdmitted,
            countsForAccount: call.origin === "caller",
            tryAcquireSlot: () => this.tryAcquireSlot(progress, queuedMs),
            shouldGiveUp: () => this.shouldGiveUp(progress),
        }, signal);
    }

    private tryAcquireSlot(progress: GenerationProgress, queuedMs: number): GroupSlot | PeerSlot | undefined {
        const { call } = progress;
        const ownZoneSlot = this.options.selector.tryAcquire(call.modelVersion, call.prompt, progress.failedGroups);
        if (ownZoneSlot || call.origin === "peer") {
            return ownZoneSlot;
        }
        const hasWaited = this.options.clock.monotonicMs() - queuedMs >= SPILL_AFTER_MS;
        const isServedHere = this.options.selector.hasOpen(call.modelVersion);
        return hasWaited || !isServedHere
            ? this.tryAcquirePeerSlot(call.modelVersion)
            : undefined;
    }

    /** Prefers a router of this zone whose share has a free slot to a router of another zone. */
    private tryAcquirePeerSlot(modelVersion: string): PeerSlot | undefined {
        const zones = this.zonesServing(modelVersion);
        const { zone } = this.options;
        const ownZoneSlot = zones.has(zone) ? this.options.peers.tryAcquire(modelVersion, new Set([zone])) : undefined;
        return ownZoneSlot
            ?? this.options.peers.tryAcquire(modelVersion, new Set([...zones].filter(name => name !== zone)));
    }

    private shouldGiveUp(progress: GenerationProgress): boolean {
        const { call } = progress;
        if (call.origin === "peer") {
            return !this.options.selector.hasShare(call.modelVersion) || call.onlyIfFree === true;
        }
        if (this.options.selector.hasOpen(call.modelVersion)) {
            return false;
        }
        const waitedMs = this.options.clock.monotonicMs() - progress.waitingSinceMs;
        const waitLimitMs = progress.hasTokens ? RESUME_WAIT_LIMIT_MS : START_WAIT_LIMIT_MS;
        return waitedMs >= waitLimitMs
            && !this.options.peers.hasEligible(call.modelVersion, this.zonesServing(call.modelVersion));
    }

    /** Returns the zones whose routers may serve the version; this router's zone only while a group is open there. */
    private zonesServing(modelVersion: string): ReadonlySet<string> {
        const groups = this.options.configuration.list("serving-group")
            .filter(({ value }) => value.modelVersion === modelVersion);
        const zones = new Set(groups.map(({ value }) => value.zone));
        if (!this.options.selector.hasOpen(modelVersion)) {
            zones.delete(this.options.zone);
        }
        return zones;
    }

    private release(slot: GroupSlot | PeerSlot, progress: GenerationProgress, outcome: AttemptOutcome): void {
        if (slot.kind === "group") {
            this.invalidateIfStale(slot, outcome);
            slot.lease.release(leaseResultOf(outcome));
        }
        else {
            const isPeerUsable = outcome.kind === "finished" || outcome.kind === "aborted";
            const pauseMs = outcome.kind === "refused" ? outcome.retryAfterMs : undefined;
            slot.release(isPeerUsable ? undefined : pauseMs ?? PEER_PAUSE_MS);
        }
        this.options.queue.slotReleased(progress.call.modelVersion);
    }

    private invalidateIfStale(slot: GroupSlot, outcome: AttemptOutcome): void {
        const evidence = this.options.evidence.ready(slot.group);
        if (evidence && outcome.kind === "refused" && staleEvidenceReasons.has(outcome.reason)) {
            this.options.evidence.invalidate(evidence.headVm);
        }
    }

    private recordSuccess(
        slot: GroupSlot | PeerSlot,
        progress: GenerationProgress,
        indexBefore: number,
        startedMs: number,
    ): void {
        const tokenCount = progress.sequence.next - indexBefore;
        this.options.budget.recordSuccess(progress.call.caller.account);
        if (slot.kind === "group") {
            const durationMs = this.options.clock.monotonicMs() - startedMs;
            this.options.selector.recordResponse(slot.group, progress.call.modelVersion, tokenCount, durationMs);
        }
    }

    /** Returns a refusal if no further attempt is to be made; otherwise pauses where a pause is due. */
    private async refuseOrPause(
        slot: GroupSlot | PeerSlot,
        progress: GenerationProgress,
        outcome: Exclude<AttemptOutcome, { kind: "finished"; }>,
        signal: AbortSignal,
        callerSignal: AbortSignal,
    ): Promise<Refusal | undefined> {
        const { call } = progress;
        if (outcome.kind === "aborted") {
            return createRefusal(callerSignal.aborted ? "caller-gone" : "deadline", progress.ran);
        }
        const isFreeRetry = outcome.kind === "refused" && (slot.kind === "peer" || outcome.reason === "group-closed");
        if (!isFreeRetry && !this.options.budget.trySpend(call.caller.account)) {
            const type = progress.hasTokens ? "broken" : "no-upstream";
            return createRefusal(type, progress.ran, { retryAfterMs: 1000 });
        }
        const group = slot.kind === "group" ? slot.group : undefined;
        this.options.events.record({
            kind: progress.hasTokens ? "request-resumed" : "request-retried",
            requestId: call.requestId,
            group,
            reason: outcome.reason,
            count: progress.sequence.next,
        });
        this.options.metrics.increment("generation_retries", 1, { reason: outcome.reason });
        if (progress.hasFailedRepeatedly(slot)) {
            await this.options.clock.sleep(RETRY_PAUSE_MS, signal);
        }
        return undefined;
    }
}

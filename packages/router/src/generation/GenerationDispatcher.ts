import type { ConfigurationView, EvidenceView } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import type { PlacementQueue } from "../admission/PlacementQueue.js";
import { refusePlacement } from "../admission/refusePlacement.js";
import { createRefusal } from "../createRefusal.js";
import type { Refusal } from "../Refusal.js";
import type { GroupPlace } from "../routing/GroupPlace.js";
import type { GroupSelector } from "../routing/GroupSelector.js";
import type { PeerPlace } from "../routing/PeerPlace.js";
import type { PeerSelector } from "../routing/PeerSelector.js";
import { Deadline } from "../util/Deadline.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationAttempt } from "./GenerationAttempt.js";
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
    queue: PlacementQueue;
    selector: GroupSelector;
    peers: PeerSelector;
    budget: RetryBudget;
    attempt: GenerationAttempt;
    /** Availability zone of this router. */
    zone: string;
}

/** A call that finds its own zone full waits this long there before it goes to another. */
const SPILL_AFTER_MS = 100;
/** A peer that refused or broke without saying for how long is left alone this long. */
const PEER_PAUSE_MS = 500;
/** Pause before a further attempt when nothing else is known. */
const RETRY_PAUSE_MS = 50;
/** A call is given up when nothing could take it for this long. */
const START_PATIENCE_MS = 2000;
/** An answer under way is worth a longer wait for a replica to resume it. */
const RESUME_PATIENCE_MS = 15_000;
/** Refusals after which the evidence for the head is no longer believed. */
const stateRefusals: ReadonlySet<string> = new Set(["wrong-epoch", "member-missing", "not-ready"]);

/** Serves generations: waits for a place, runs attempts, and resumes a broken answer until it is whole. */
export class GenerationDispatcher {
    private constructor(private readonly options: GenerationDispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: GenerationDispatcherOptions): GenerationDispatcher {
        return new GenerationDispatcher(options);
    }

    /** Serves a call to its end. The sink gets each token once and in order, whatever broke on the way. */
    async run(call: GenerationCall, sink: TokenSink, signal: AbortSignal): Promise<GenerationOutcome> {
        const deadline = Deadline.create(this.options.clock, call.deadlineMs);
        const progress = GenerationProgress.create(call, this.options.clock.monotonicMs());
        const outcome = await this.attempts(progress, sink, AbortSignal.any([signal, deadline.signal]), signal);
        deadline.end();
        if (progress.isAdmitted && call.origin === "caller") {
            this.options.queue.leave(call.caller.account);
        }
        return outcome;
    }

    private async attempts(
        progress: GenerationProgress,
        sink: TokenSink,
        signal: AbortSignal,
        callerSignal: AbortSignal,
    ): Promise<GenerationOutcome> {
        for (;;) {
            const placed = await this.waitForPlace(progress, signal);
            if (placed.kind !== "placed") {
                return { kind: "refused", refusal: refusePlacement(placed, progress.ran, callerSignal) };
            }
            progress.isAdmitted = true;
            const startedMs = this.options.clock.monotonicMs();
            const before = progress.sequence.next;
            const outcome = await this.options.attempt.run(
                placed.place,
                progress.call,
                progress.sequence,
                sink,
                signal,
            );
            this.release(placed.place, progress, outcome);
            progress.note(outcome, placed.place, this.options.clock.monotonicMs());
            if (outcome.kind === "finished") {
                this.noteSuccess(placed.place, progress, before, startedMs);
                return outcome;
            }
            const refusal = await this.giveUpOrPause(placed.place, progress, outcome, signal, callerSignal);
            if (refusal) {
                return { kind: "refused", refusal };
            }
        }
    }

    private async waitForPlace(progress: GenerationProgress, signal: AbortSignal) {
        const { call } = progress;
        if (!progress.isAdmitted) {
            this.options.events.record({ kind: "request-queued", requestId: call.requestId });
        }
        const queuedMs = this.options.clock.monotonicMs();
        return this.options.queue.acquire<GroupPlace | PeerPlace>({
            pool: call.modelVersion,
            caller: call.caller,
            sizeBytes: call.prompt.length * 2,
            deadlineMs: call.deadlineMs,
            isAdmitted: progress.isAdmitted,
            countsForAccount: call.origin === "caller",
            place: () => this.place(progress, queuedMs),
            isHopeless: () => this.isHopeless(progress),
        }, signal);
    }

    private place(progress: GenerationProgress, queuedMs: number): GroupPlace | PeerPlace | undefined {
        const { call } = progress;
        const own = this.options.selector.place(call.modelVersion, call.prompt, progress.failedGroups);
        if (own || call.origin === "peer") {
            return own;
        }
        const hasWaited = this.options.clock.monotonicMs() - queuedMs >= SPILL_AFTER_MS;
        const isServedHere = this.options.selector.hasOpen(call.modelVersion);
        return hasWaited || !isServedHere
            ? this.placeAtPeer(call.modelVersion)
            : undefined;
    }

    /** A router of the own zone whose share has a free slot goes before another zone. */
    private placeAtPeer(modelVersion: string): PeerPlace | undefined {
        const zones = this.zonesServing(modelVersion);
        const { zone } = this.options;
        const own = zones.has(zone) ? this.options.peers.place(modelVersion, new Set([zone])) : undefined;
        return own ?? this.options.peers.place(modelVersion, new Set([...zones].filter(name => name !== zone)));
    }

    private isHopeless(progress: GenerationProgress): boolean {
        const { call } = progress;
        const isServedHere = this.options.selector.hasOpen(call.modelVersion);
        if (call.origin === "peer") {
            return !isServedHere || call.onlyIfFree === true;
        }
        if (isServedHere) {
            return false;
        }
        const waitedMs = this.options.clock.monotonicMs() - progress.progressedMs;
        const patienceMs = progress.hasTokens ? RESUME_PATIENCE_MS : START_PATIENCE_MS;
        return waitedMs >= patienceMs
            && !this.options.peers.hasEligible(call.modelVersion, this.zonesServing(call.modelVersion));
    }

    /** Zones whose routers may serve the version; the own one only while a group is open there. */
    private zonesServing(modelVersion: string): ReadonlySet<string> {
        const groups = this.options.configuration.list("serving-group")
            .filter(({ value }) => value.modelVersion === modelVersion);
        const zones = new Set(groups.map(({ value }) => value.zone));
        if (!this.options.selector.hasOpen(modelVersion)) {
            zones.delete(this.options.zone);
        }
        return zones;
    }

    private release(place: GroupPlace | PeerPlace, progress: GenerationProgress, outcome: AttemptOutcome): void {
        if (place.kind === "group") {
            this.invalidateIfStale(place, outcome);
            place.lease.release(leaseResultOf(outcome));
        }
        else {
            const isGood = outcome.kind === "finished" || outcome.kind === "aborted";
            const pauseMs = outcome.kind === "refused" ? outcome.retryAfterMs : undefined;
            place.release(isGood ? undefined : pauseMs ?? PEER_PAUSE_MS);
        }
        this.options.queue.released(progress.call.modelVersion);
    }

    private invalidateIfStale(place: GroupPlace, outcome: AttemptOutcome): void {
        const evidence = this.options.evidence.ready(place.group);
        if (evidence && outcome.kind === "refused" && stateRefusals.has(outcome.reason)) {
            this.options.evidence.invalidate(evidence.headVm);
        }
    }

    private noteSuccess(
        place: GroupPlace | PeerPlace,
        progress: GenerationProgress,
        before: number,
        startedMs: number,
    ): void {
        const tokenCount = progress.sequence.next - before;
        this.options.budget.succeeded(progress.call.caller.account);
        if (place.kind === "group") {
            const durationMs = this.options.clock.monotonicMs() - startedMs;
            this.options.selector.noteAnswer(place.group, progress.call.modelVersion, tokenCount, durationMs);
        }
    }

    /** Decides whether a further attempt is made; if so, waits a little before it. */
    private async giveUpOrPause(
        place: GroupPlace | PeerPlace,
        progress: GenerationProgress,
        outcome: Exclude<AttemptOutcome, { kind: "finished"; }>,
        signal: AbortSignal,
        callerSignal: AbortSignal,
    ): Promise<Refusal | undefined> {
        const { call } = progress;
        if (outcome.kind === "aborted") {
            return createRefusal(callerSignal.aborted ? "caller-gone" : "deadline", progress.ran);
        }
        const isFree = outcome.kind === "refused" && (place.kind === "peer" || outcome.reason === "group-closed");
        if (!isFree && !this.options.budget.trySpend(call.caller.account)) {
            const type = progress.hasTokens ? "broken" : "no-upstream";
            return createRefusal(type, progress.ran, { retryAfterMs: 1000 });
        }
        const group = place.kind === "group" ? place.group : undefined;
        this.options.events.record({
            kind: progress.hasTokens ? "request-resumed" : "request-retried",
            requestId: call.requestId,
            group,
            reason: outcome.reason,
            count: progress.sequence.next,
        });
        this.options.metrics.increment("generation_retries", 1, { reason: outcome.reason });
        if (progress.hasFailedBefore(place)) {
            await this.options.clock.sleep(RETRY_PAUSE_MS, signal);
        }
        return undefined;
    }
}

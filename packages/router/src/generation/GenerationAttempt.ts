import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import type { EngineClient } from "../ports/EngineClient.js";
import type { ZoneForwarder } from "../ports/ZoneForwarder.js";
import type { GroupAccess } from "../routing/GroupAccess.js";
import type { GroupPlace } from "../routing/GroupPlace.js";
import type { OpenGroup } from "../routing/OpenGroup.js";
import type { PeerPlace } from "../routing/PeerPlace.js";
import { Interrupt } from "../util/Interrupt.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationCall } from "./GenerationCall.js";
import { SilenceWatch } from "./SilenceWatch.js";
import type { StreamEvent } from "./StreamEvent.js";
import type { TokenSequence } from "./TokenSequence.js";
import type { TokenSink } from "./TokenSink.js";

interface GenerationAttemptOptions {
    clock: Clock;
    random: Random;
    events: EventRecorder;
    metrics: Metrics;
    access: GroupAccess;
    engines: EngineClient;
    forwarder: ZoneForwarder;
    /** Availability zone of this router. */
    zone: string;
    /** Longest time without any sign of life from a stream. */
    silenceMs: number;
    /** Longest time without a token. */
    progressMs: number;
}

/** Why a stream is not read any further. */
type GivenUpReason = "aborted" | "silent" | "no-progress" | "stopped";

/** Time that a stream may take to close after its answer is whole. */
const CLOSING_MS = 100;

/** Runs one attempt at a generation: opens a stream, hands its tokens on, and watches that it stays alive. */
export class GenerationAttempt {
    private constructor(private readonly options: GenerationAttemptOptions) {}

    /** Creates the runner of attempts. */
    static create(options: GenerationAttemptOptions): GenerationAttempt {
        return new GenerationAttempt(options);
    }

    /** Runs an attempt at the place until its stream ends or `signal` aborts. Gives no slot back. */
    async run(
        place: GroupPlace | PeerPlace,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        if (signal.aborted) {
            return { kind: "refused", reason: "given-up" };
        }
        return place.kind === "group"
            ? this.runAtGroup(place, call, sequence, sink, signal)
            : this.runAtPeer(place, call, sequence, sink, signal);
    }

    private async runAtGroup(
        place: GroupPlace,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const open = this.options.access.check(place.group, call.modelVersion);
        if (!open || open.upstream.identity !== place.upstream.identity) {
            return { kind: "refused", reason: "group-closed" };
        }
        const attemptId = this.options.random.uniqueId();
        const stop = new AbortController();
        const stream = this.startAtGroup(open, call, attemptId, sequence, AbortSignal.any([signal, stop.signal]));
        const outcome = await this.follow(stream, attemptId, sequence, sink, signal, stop);
        if (outcome.kind === "aborted" || outcome.kind === "broken") {
            void this.options.engines.cancel(open.evidence.headUrl, attemptId);
        }
        return outcome;
    }

    private startAtGroup(
        open: OpenGroup,
        call: GenerationCall,
        attemptId: string,
        sequence: TokenSequence,
        signal: AbortSignal,
    ): AsyncIterable<StreamEvent> {
        const { group, epoch, headUrl } = open.evidence;
        const { requestId } = call;
        this.options.events.record({ kind: "request-dispatched", requestId, group, epoch, count: sequence.next });
        return this.options.engines.generate(headUrl, {
            requestId,
            attemptId,
            group,
            epoch,
            prompt: call.prompt,
            maxTokens: call.maxTokens,
            resumeFromToken: sequence.next,
            priority: call.caller.priority,
        }, signal);
    }

    private async runAtPeer(
        place: PeerPlace,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const attemptId = this.options.random.uniqueId();
        const stop = new AbortController();
        const { peer } = place;
        this.options.events.record({
            kind: "request-forwarded",
            requestId: call.requestId,
            zone: peer.zone,
            reason: peer.name,
            count: sequence.next,
        });
        const stream = this.options.forwarder.generate(peer, {
            requestId: call.requestId,
            attemptId,
            clientAccount: call.caller.account,
            modelVersion: call.modelVersion,
            prompt: call.prompt,
            maxTokens: call.maxTokens,
            resumeFromToken: sequence.next,
            priority: call.caller.priority,
            remainingMs: Math.max(1, Math.floor(call.deadlineMs - this.options.clock.monotonicMs())),
            onlyIfFree: place.peer.zone === this.options.zone,
        }, AbortSignal.any([signal, stop.signal]));
        const outcome = await this.follow(stream, attemptId, sequence, sink, signal, stop);
        if (outcome.kind === "broken" && outcome.reason === "silent") {
            this.options.forwarder.abandon(peer);
        }
        return outcome;
    }

    private async follow(
        stream: AsyncIterable<StreamEvent>,
        attemptId: string,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
        stop: AbortController,
    ): Promise<AttemptOutcome> {
        const watch = SilenceWatch.create(this.options);
        const ended = new AbortController();
        const interrupt = Interrupt.create<GivenUpReason>();
        void watch.run(ended.signal).then(reason => interrupt.trigger(reason));
        const onAbort = () => interrupt.trigger("aborted");
        signal.addEventListener("abort", onAbort, { once: true });
        const iterator = stream[Symbol.asyncIterator]();
        const outcome = await this.read(iterator, attemptId, sequence, sink, watch, interrupt);
        signal.removeEventListener("abort", onAbort);
        ended.abort();
        void this.close(iterator, outcome, stop);
        return outcome;
    }

    /** Reads what follows a whole answer, so that its connection can serve again; cuts any other stream. */
    private async close(
        iterator: AsyncIterator<StreamEvent>,
        outcome: AttemptOutcome,
        stop: AbortController,
    ): Promise<void> {
        if (outcome.kind === "finished") {
            const ended = new AbortController();
            const timeout = this.options.clock.sleep(CLOSING_MS, ended.signal);
            await Promise.race([iterator.next(), timeout]);
            ended.abort();
        }
        stop.abort();
        await iterator.return?.();
    }

    private async read(
        iterator: AsyncIterator<StreamEvent>,
        attemptId: string,
        sequence: TokenSequence,
        sink: TokenSink,
        watch: SilenceWatch,
        interrupt: Interrupt<GivenUpReason>,
    ): Promise<AttemptOutcome> {
        for (;;) {
            watch.waiting();
            const next = await interrupt.race(iterator.next());
            if (next.kind === "interrupted") {
                return givenUp(next.reason);
            }
            if (next.value.done) {
                return { kind: "broken", reason: "stream-ended", sent: true };
            }
            const event = next.value.value;
            watch.received(event.kind === "token");
            const handled = await interrupt.race(this.handle(event, attemptId, sequence, sink));
            if (handled.kind === "interrupted") {
                return givenUp(handled.reason);
            }
            if (handled.value) {
                return handled.value;
            }
        }
    }

    private async handle(
        event: StreamEvent,
        attemptId: string,
        sequence: TokenSequence,
        sink: TokenSink,
    ): Promise<AttemptOutcome | undefined> {
        switch (event.kind) {
            case "heartbeat":
                return undefined;
            case "refused":
            case "broken":
                return event;
            default:
                return this.take(event, attemptId, sequence, sink);
        }
    }

    private async take(
        event: Extract<StreamEvent, { kind: "token" | "done"; }>,
        attemptId: string,
        sequence: TokenSequence,
        sink: TokenSink,
    ): Promise<AttemptOutcome | undefined> {
        const verdict = sequence.accept(event, attemptId);
        switch (verdict.kind) {
            case "next":
                await sink(verdict.text, verdict.index);
                return undefined;
            case "dropped":
                this.options.events.record({
                    kind: "answer-dropped",
                    requestId: event.requestId,
                    reason: verdict.reason,
                });
                this.options.metrics.increment("answers_dropped", 1, { reason: verdict.reason });
                return undefined;
            case "incomplete":
                return { kind: "broken", reason: verdict.reason, sent: true };
            case "complete":
                return { kind: "finished", tokenCount: sequence.next };
        }
    }
}

function givenUp(reason: GivenUpReason): AttemptOutcome {
    return reason === "aborted" ? { kind: "aborted" } : { kind: "broken", reason, sent: true };
}

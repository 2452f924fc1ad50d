import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import { Interrupt } from "../util/Interrupt.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import { SilenceWatch } from "./SilenceWatch.js";
import type { StreamEvent } from "./StreamEvent.js";
import type { TokenSequence } from "./TokenSequence.js";
import type { TokenSink } from "./TokenSink.js";

interface StreamFollowerOptions {
    clock: Clock;
    events: EventRecorder;
    metrics: Metrics;
    /** Longest time without any sign of life from a stream. */
    silenceMs: number;
    /** Longest time without a token. */
    progressMs: number;
}

/** Why a stream is not read any further. */
type GivenUpReason = "aborted" | "silent" | "no-progress" | "stopped";

/** Time that a stream may take to close after its answer is whole. */
const CLOSING_MS = 100;

/** Reads the stream of one attempt: hands its tokens on in order, and watches that it stays alive. */
export class StreamFollower {
    private constructor(private readonly options: StreamFollowerOptions) {}

    /** Creates a follower. */
    static create(options: StreamFollowerOptions): StreamFollower {
        return new StreamFollower(options);
    }

    /** Reads a stream until its answer is whole, it breaks, or `signal` aborts; aborts `stop` when it is done with. */
    async follow(
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

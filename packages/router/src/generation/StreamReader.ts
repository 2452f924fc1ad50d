import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import { Interrupt } from "../util/Interrupt.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { StreamEvent } from "./StreamEvent.js";
import { StreamWatchdog } from "./StreamWatchdog.js";
import type { TokenSequence } from "./TokenSequence.js";
import type { TokenSink } from "./TokenSink.js";

interface StreamReaderOptions {
    clock: Clock;
    events: EventRecorder;
    metrics: Metrics;
    /** Longest wait for any event of a stream. */
    idleTimeoutMs: number;
    /** Longest wait for a token. */
    tokenTimeoutMs: number;
}

/** Why the reading of a stream was interrupted. */
type InterruptReason = "aborted" | "silent" | "no-progress" | "stopped";

/** Longest wait for a stream to end after its response is complete. */
const CLOSE_TIMEOUT_MS = 100;

/** Reads the stream of an attempt, passes its tokens on in order, and enforces its timeouts. */
export class StreamReader {
    private constructor(private readonly options: StreamReaderOptions) {}

    /** Creates a reader. */
    static create(options: StreamReaderOptions): StreamReader {
        return new StreamReader(options);
    }

    /** Reads a stream until its response is complete, it breaks, or `signal` aborts; then aborts `stop`. */
    async read(
        stream: AsyncIterable<StreamEvent>,
        attemptId: string,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
        stop: AbortController,
    ): Promise<AttemptOutcome> {
        const watchdog = StreamWatchdog.create(this.options);
        const ended = new AbortController();
        const interrupt = Interrupt.create<InterruptReason>();
        void watchdog.run(ended.signal).then(reason => interrupt.trigger(reason));
        const onAbort = () => interrupt.trigger("aborted");
        signal.addEventListener("abort", onAbort, { once: true });
        const iterator = stream[Symbol.asyncIterator]();
        const outcome = await this.readUntilEnd(iterator, attemptId, sequence, sink, watchdog, interrupt);
        signal.removeEventListener("abort", onAbort);
        ended.abort();
        void this.close(iterator, outcome, stop);
        return outcome;
    }

    /** Reads to the end after a complete response, so that the connection can be reused; aborts any other stream. */
    private async close(
        iterator: AsyncIterator<StreamEvent>,
        outcome: AttemptOutcome,
        stop: AbortController,
    ): Promise<void> {
        if (outcome.kind === "finished") {
            const ended = new AbortController();
            const timeout = this.options.clock.sleep(CLOSE_TIMEOUT_MS, ended.signal);
            await Promise.race([iterator.next(), timeout]);
            ended.abort();
        }
        stop.abort();
        await iterator.return?.();
    }

    private async readUntilEnd(
        iterator: AsyncIterator<StreamEvent>,
        attemptId: string,
        sequence: TokenSequence,
        sink: TokenSink,
        watchdog: StreamWatchdog,
        interrupt: Interrupt<InterruptReason>,
    ): Promise<AttemptOutcome> {
        for (;;) {
            watchdog.waitStarted();
            const next = await interrupt.race(iterator.next());
            if (next.kind === "interrupted") {
                return toInterruptedOutcome(next.reason);
            }
            if (next.value.done) {
                return { kind: "broken", reason: "stream-ended", sent: true };
            }
            const event = next.value.value;
            watchdog.eventReceived(event.kind === "token");
            const handled = await interrupt.race(this.handle(event, attemptId, sequence, sink));
            if (handled.kind === "interrupted") {
                return toInterruptedOutcome(handled.reason);
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
                return this.acceptEvent(event, attemptId, sequence, sink);
        }
    }

    private async acceptEvent(
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

function toInterruptedOutcome(reason: InterruptReason): AttemptOutcome {
    return reason === "aborted" ? { kind: "aborted" } : { kind: "broken", reason, sent: true };
}

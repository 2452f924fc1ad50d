import type { Clock } from "@fescuehaven/runtime";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";

const HEAD = { status: 200, headers: ["x-signature", "s"] };

/** Responses of scripted upstreams. */
export const responses = {
    /** Returns a complete stream with the events `first` to `last`. */
    stream: (first: number, last: number): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: events(first, last),
    }),

    /** Returns a stream that fails after the event `last`, in the middle of the next one. */
    brokenStream: (first: number, last: number): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: (async function*() {
            yield* events(first, last);
            yield Buffer.from(`id: ${last + 1}\ndata: ha`);
            throw new Error("reset");
        })(),
    }),

    /** Returns a stream that is silent after the event `last`, until the attempt is aborted. */
    silentStream: (first: number, last: number, signal: AbortSignal): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: (async function*() {
            yield* events(first, last);
            if (!signal.aborted) {
                await new Promise(resolve => signal.addEventListener("abort", resolve, { once: true }));
            }
            throw new Error("aborted");
        })(),
    }),

    /** Returns a complete stream that is silent for a time after the event `last`; fails if it is aborted. */
    pausedStream: (
        { last, until, pauseMs }: { last: number; until: number; pauseMs: number; },
        clock: Clock,
        signal: AbortSignal,
        first = 1,
    ): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: (async function*() {
            yield* events(first, last);
            await clock.sleep(pauseMs, signal);
            signal.throwIfAborted();
            yield* events(last + 1, until);
        })(),
    }),

    /** Returns a complete response. */
    complete: (status: number, text: string, isSigned = true): UpstreamResponse => ({
        kind: "answered",
        head: { status, headers: [] },
        isSigned,
        body: (async function*() {
            yield Buffer.from(text);
        })(),
    }),

    /** Returns a response that ends early. */
    truncated: (): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: (async function*() {
            yield Buffer.from("ha");
            throw new Error("reset");
        })(),
    }),
};

async function* events(first: number, last: number): AsyncGenerator<Buffer> {
    for (let id = first; id <= last; id++) {
        yield Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
    }
}

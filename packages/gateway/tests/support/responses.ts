import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";

const HEAD = { status: 200, headers: ["x-signature", "s"] };

/** Answers of scripted upstreams. */
export const responses = {
    /** A whole stream of the events `first` to `last`. */
    stream: (first: number, last: number): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: events(first, last),
    }),

    /** A stream that breaks after the event `last`, in the middle of the next one. */
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

    /** A stream that falls silent after the event `last` until its sending is aborted. */
    silentStream: (first: number, last: number, signal: AbortSignal): UpstreamResponse => ({
        kind: "answered",
        head: HEAD,
        isSigned: true,
        body: (async function*() {
            yield* events(first, last);
            await new Promise(resolve => signal.addEventListener("abort", resolve, { once: true }));
            throw new Error("aborted");
        })(),
    }),

    /** A whole answer. */
    whole: (status: number, text: string, isSigned = true): UpstreamResponse => ({
        kind: "answered",
        head: { status, headers: [] },
        isSigned,
        body: (async function*() {
            yield Buffer.from(text);
        })(),
    }),

    /** An answer that ends early. */
    short: (): UpstreamResponse => ({
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

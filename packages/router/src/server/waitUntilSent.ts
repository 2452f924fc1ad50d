import type { Clock } from "@fescuehaven/runtime";
import type { ServerResponse } from "node:http";

/** Resolves once an answer has left whole; cuts the connection of a caller that does not take it within `stallMs`. */
export async function waitUntilSent(response: ServerResponse, clock: Clock, stallMs: number): Promise<void> {
    if (response.writableFinished || response.destroyed) {
        return;
    }
    const settled = new AbortController();
    const settle = () => settled.abort();
    response.once("finish", settle);
    response.once("close", settle);
    await clock.sleep(stallMs, settled.signal);
    if (!settled.signal.aborted) {
        response.destroy();
    }
}

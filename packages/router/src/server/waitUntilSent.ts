import type { Clock } from "@fescuehaven/runtime";
import type { ServerResponse } from "node:http";

/** Waits until a response is sent completely; closes the connection if that takes longer than `stallMs`. */
export async function waitUntilSent(response: ServerResponse, clock: Clock, stallMs: number): Promise<void> {
    if (response.writableFinished || response.destroyed) {
        return;
    }
    const ended = new AbortController();
    const end = () => ended.abort();
    response.once("finish", end);
    response.once("close", end);
    await clock.sleep(stallMs, ended.signal);
    if (!ended.signal.aborted) {
        response.destroy();
    }
}

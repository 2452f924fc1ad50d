import type { EngineCall } from "../generation/EngineCall.js";
import type { StreamEvent } from "../generation/StreamEvent.js";

/** Client of the engines. Iterating a stream never throws; it ends with `done`, `refused` or `broken`. */
export interface EngineClient {
    /** Starts a generation and yields its events; the reader pulls them, which applies back-pressure. */
    generate(headUrl: string, call: EngineCall, signal: AbortSignal): AsyncIterable<StreamEvent>;

    /** Cancels an attempt. Best effort; never rejects. */
    cancel(headUrl: string, attemptId: string): Promise<void>;
}

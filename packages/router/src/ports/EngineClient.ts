import type { EngineCall } from "../generation/EngineCall.js";
import type { StreamEvent } from "../generation/StreamEvent.js";

/** An engine's inference interface. Iterating never throws: each stream ends with `done`, `refused` or `broken`. */
export interface EngineClient {
    /** Starts a generation and yields its events; pulled by the reader, which gives back-pressure. */
    generate(headUrl: string, call: EngineCall, signal: AbortSignal): AsyncIterable<StreamEvent>;

    /** Cancels an attempt. Best effort; never rejects. */
    cancel(headUrl: string, attemptId: string): Promise<void>;
}

import type { CallerRefusal } from "../model/CallerRefusal.js";
import type { ResponseHead } from "./ResponseHead.js";

/** Where the answer to one request goes. */
export interface CallerResponse {
    /** Aborts when the caller has gone. */
    readonly disconnected: AbortSignal;
    /** True once the head of an answer has been sent. */
    readonly hasStarted: boolean;

    /** Sends a whole answer. */
    sendComplete(head: ResponseHead, body: Buffer): void;

    /** Starts an answer whose parts follow. */
    start(head: ResponseHead): void;

    /** Sends a part; waits while the caller reads slowly. */
    write(part: Buffer): Promise<void>;

    /** Ends an answer as complete. */
    end(): void;

    /** Breaks the answer off, so that it cannot be taken for complete. */
    abort(): void;

    /** Sends a final answer of the system's own. */
    refuse(refusal: CallerRefusal): void;
}

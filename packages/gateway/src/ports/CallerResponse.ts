import type { CallerRefusal } from "../model/CallerRefusal.js";
import type { ResponseHead } from "./ResponseHead.js";

/** Sends the response to one request to its caller. */
export interface CallerResponse {
    /** Aborts when the caller has disconnected. */
    readonly disconnected: AbortSignal;
    /** True once the head of a response has been sent. */
    readonly hasStarted: boolean;

    /** Sends a complete response. */
    sendComplete(head: ResponseHead, body: Buffer): void;

    /** Sends the head of a response whose body follows in parts. */
    start(head: ResponseHead): void;

    /** Sends a part of the body. Waits while the caller reads slowly. */
    write(part: Buffer): Promise<void>;

    /** Ends the response as complete. */
    end(): void;

    /** Aborts the response in a way that the caller cannot mistake for a complete response. */
    abort(): void;

    /** Sends a final error response that the system generates itself. */
    refuse(refusal: CallerRefusal): void;
}

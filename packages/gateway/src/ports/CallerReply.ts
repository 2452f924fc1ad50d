import type { CallerRefusal } from "../model/CallerRefusal.js";
import type { AnswerHead } from "./AnswerHead.js";

/** Where the answer to one request goes. */
export interface CallerReply {
    /** Aborts when the caller has gone. */
    readonly gone: AbortSignal;
    /** True once the head of an answer has been sent. */
    readonly hasBegun: boolean;

    /** Sends a whole answer. */
    sendWhole(head: AnswerHead, body: Buffer): void;

    /** Starts an answer whose parts follow. */
    begin(head: AnswerHead): void;

    /** Sends a part; waits while the caller reads slowly. */
    write(part: Buffer): Promise<void>;

    /** Ends an answer as complete. */
    end(): void;

    /** Breaks the answer off, so that it cannot be taken for complete. */
    breakOff(): void;

    /** Sends a final answer of the system's own. */
    refuse(refusal: CallerRefusal): void;
}

import type { CallerRefusal } from "../../src/model/CallerRefusal.js";
import type { AnswerHead } from "../../src/ports/AnswerHead.js";
import type { CallerReply } from "../../src/ports/CallerReply.js";

/** Keeps what a caller gets. */
export class RecordedReply implements CallerReply {
    readonly controller = new AbortController();
    status: number | undefined;
    text = "";
    ending: "open" | "complete" | "broken-off" = "open";
    refusal: CallerRefusal | undefined;

    /** Creates a reply of which nothing has been sent. */
    static create(): RecordedReply {
        return new RecordedReply();
    }

    /** Aborts when the caller has gone. */
    get gone(): AbortSignal {
        return this.controller.signal;
    }

    /** True once the head of an answer has been sent. */
    get hasBegun(): boolean {
        return this.status !== undefined;
    }

    /** Keeps a whole answer. */
    sendWhole(head: AnswerHead, body: Buffer): void {
        this.begin(head);
        this.text += body.toString();
        this.end();
    }

    /** Keeps the head. */
    begin(head: AnswerHead): void {
        if (this.hasBegun) {
            throw new Error("a second answer to one request");
        }
        this.status = head.status;
    }

    /** Keeps a part. */
    async write(part: Buffer): Promise<void> {
        this.text += part.toString();
    }

    /** Ends the answer. */
    end(): void {
        this.ending = "complete";
    }

    /** Breaks the answer off. */
    breakOff(): void {
        this.ending = "broken-off";
    }

    /** Keeps a refusal. */
    refuse(refusal: CallerRefusal): void {
        this.refusal = refusal;
        this.ending = "complete";
    }
}

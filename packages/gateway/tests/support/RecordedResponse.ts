import type { CallerRefusal } from "../../src/model/CallerRefusal.js";
import type { CallerResponse } from "../../src/ports/CallerResponse.js";
import type { ResponseHead } from "../../src/ports/ResponseHead.js";

/** Records the response that a caller receives. */
export class RecordedResponse implements CallerResponse {
    readonly disconnectController = new AbortController();
    status: number | undefined;
    text = "";
    ending: "open" | "complete" | "incomplete" = "open";
    refusal: CallerRefusal | undefined;
    private untilRead: () => Promise<void> = () => Promise.resolve();

    /** Creates a response of which nothing has been sent. */
    static create(): RecordedResponse {
        return new RecordedResponse();
    }

    /** Aborts when the caller has disconnected. */
    get disconnected(): AbortSignal {
        return this.disconnectController.signal;
    }

    /** True once the head of a response has been sent. */
    get hasStarted(): boolean {
        return this.status !== undefined;
    }

    /** Records a complete response. */
    sendComplete(head: ResponseHead, body: Buffer): void {
        this.start(head);
        this.text += body.toString();
        this.end();
    }

    /** Records the head. */
    start(head: ResponseHead): void {
        if (this.hasStarted) {
            throw new Error("second response to one request");
        }
        this.status = head.status;
    }

    /** Records a part of the body. */
    async write(part: Buffer): Promise<void> {
        this.text += part.toString();
        await this.untilRead();
    }

    /** Makes the caller read slowly: each write waits for `untilRead`. */
    delayWrites(untilRead: () => Promise<void>): void {
        this.untilRead = untilRead;
    }

    /** Ends the response as complete. */
    end(): void {
        this.ending = "complete";
    }

    /** Aborts the response. */
    abort(): void {
        this.ending = "incomplete";
    }

    /** Records a refusal. */
    refuse(refusal: CallerRefusal): void {
        this.refusal = refusal;
        this.ending = "complete";
    }
}

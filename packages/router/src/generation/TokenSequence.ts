import type { StreamEvent } from "./StreamEvent.js";

/** How an event is to be handled. */
type TokenVerdict =
    | { kind: "next"; text: string; index: number; }
    | { kind: "complete"; }
    /** The event belongs to another call or attempt (`crossed`), or its token was accepted before (`doubled`). */
    | { kind: "dropped"; reason: "crossed" | "doubled"; }
    /** Tokens are missing, so the stream cannot complete the response. */
    | { kind: "incomplete"; reason: string; };

type TokenEvent = Extract<StreamEvent, { kind: "token"; }>;
type DoneEvent = Extract<StreamEvent, { kind: "done"; }>;

/** Joins the streams of all attempts at one request into one response: each token once, in order, from this request. */
export class TokenSequence {
    private nextIndex: number;

    private constructor(private readonly requestId: string, resumeFromToken: number) {
        this.nextIndex = resumeFromToken;
    }

    /** Creates a sequence whose first token is `resumeFromToken`. */
    static create(requestId: string, resumeFromToken: number): TokenSequence {
        return new TokenSequence(requestId, resumeFromToken);
    }

    /** Index of the next token. */
    get next(): number {
        return this.nextIndex;
    }

    /** Checks an event of the stream of attempt `attemptId`, and counts its token if it is the next one. */
    accept(event: TokenEvent | DoneEvent, attemptId: string): TokenVerdict {
        if (event.requestId !== this.requestId || event.attemptId !== attemptId) {
            return { kind: "dropped", reason: "crossed" };
        }
        return event.kind === "token" ? this.acceptToken(event) : this.acceptDone(event);
    }

    private acceptToken(event: TokenEvent): TokenVerdict {
        if (event.index < this.nextIndex) {
            return { kind: "dropped", reason: "doubled" };
        }
        if (event.index > this.nextIndex) {
            return { kind: "incomplete", reason: "token-missing" };
        }
        this.nextIndex += 1;
        return { kind: "next", text: event.text, index: event.index };
    }

    private acceptDone(event: DoneEvent): TokenVerdict {
        return event.tokenCount === this.nextIndex
            ? { kind: "complete" }
            : { kind: "incomplete", reason: "token-count" };
    }
}

import type { ResponseHead } from "../ports/ResponseHead.js";

/** How one sending of a request ended. */
export type AttemptResult =
    /** The caller has the whole answer. */
    | { kind: "delivered"; }
    /** A whole failure of the upstream's own; it ran. */
    | { kind: "failure-answer"; head: ResponseHead; body: Buffer; }
    /** The upstream did not run it. */
    | { kind: "not-run"; reason: string; }
    /** It ended early or without an answer; it may have run. */
    | { kind: "broken"; reason: string; }
    /** The caller or the time has gone. */
    | { kind: "stopped"; };

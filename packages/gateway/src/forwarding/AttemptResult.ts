import type { AnswerHead } from "../ports/AnswerHead.js";

/** How one sending of a request ended. */
export type AttemptResult =
    /** The caller has the whole answer. */
    | { kind: "delivered"; }
    /** A whole failure of the upstream's own; it ran. */
    | { kind: "failure-answer"; head: AnswerHead; body: Buffer; }
    /** The upstream did not run it. */
    | { kind: "not-run"; reason: string; }
    /** It ended early or without an answer; it may have run. `isUpstreamLost`: its upstream is gone. */
    | { kind: "broken"; reason: string; isUpstreamLost: boolean; }
    /** The caller or the time has gone. */
    | { kind: "stopped"; };

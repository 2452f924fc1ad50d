import type { ResponseHead } from "./ResponseHead.js";

/** Result of sending a request to an upstream. */
export type UpstreamResponse =
    | {
        kind: "answered";
        head: ResponseHead;
        /** The answer bears the upstream's signature. */
        isSigned: boolean;
        /** Throws when the answer ends early. */
        body: AsyncIterable<Buffer>;
    }
    /** The upstream did not run it and never will. */
    | { kind: "not-run"; reason: NotRunReason; }
    /** It may have run. */
    | { kind: "unknown"; reason: string; };

/** Why an upstream did not run a request. */
type NotRunReason = "overloaded" | "not-connected" | "other-instance" | "aborted";

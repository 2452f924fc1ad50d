/** Whether a request may be sent to an upstream, judged by what other such requests did there. */
export type CrashAdmission =
    | { kind: "allowed"; }
    /** The request is blocked, but sent to find out whether upstreams still crash under it. */
    | { kind: "trial"; }
    /** Upstreams crash when they begin to respond to requests with this part, which may be the whole request. */
    | { kind: "blocked"; part: string; reason: string; retryAfterMs: number; };

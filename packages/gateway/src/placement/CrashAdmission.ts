/** Whether a request may be sent to an upstream, judged by its prompt. */
export type CrashAdmission =
    | { kind: "allowed"; }
    /** The prompt has a blocked part. The request is sent to find out whether upstreams still crash under it. */
    | { kind: "trial"; }
    /** Upstreams crash when they begin to respond to prompts with this part. */
    | { kind: "blocked"; part: string; reason: string; retryAfterMs: number; };

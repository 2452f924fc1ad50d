/** Whether a call may run by the time at which it was issued; other kinds than `fresh` are refusal types. */
type IssuedAtVerdict =
    | { kind: "fresh"; issuedAt: Date; }
    | { kind: "missing-issued-at" | "issued-too-long-ago" | "issued-in-future"; };

interface RetentionOptions {
    /** How long records of keys are kept. */
    retentionMs: number;
    /** Largest difference allowed between the clocks of callers, routers and the platform. */
    clockErrorMs: number;
}

/**
 * Checks the time at which a call was issued. A call may run only while the record of an earlier call with its key is
 * certain to be kept; an older call may be a repeat whose record has expired.
 */
export function checkIssuedAt(issuedAt: Date | undefined, now: Date, options: RetentionOptions): IssuedAtVerdict {
    if (!issuedAt) {
        return { kind: "missing-issued-at" };
    }
    const ageMs = now.getTime() - issuedAt.getTime();
    if (ageMs > options.retentionMs - options.clockErrorMs) {
        return { kind: "issued-too-long-ago" };
    }
    if (ageMs < -options.clockErrorMs) {
        return { kind: "issued-in-future" };
    }
    return { kind: "fresh", issuedAt };
}

/** What the time that a call was issued at means for whether it may run. */
type IssuedAtVerdict =
    | { kind: "fresh"; issuedAt: Date; }
    | { kind: "missing-issued-at" | "issued-too-long-ago" | "issued-in-future"; };

interface RetentionOptions {
    /** How long records of keys are kept. */
    retentionMs: number;
    /** Most that the clocks of callers, routers and the platform may differ. */
    clockErrorMs: number;
}

/**
 * A call runs only while a record of an earlier one with its key is certain to be held still. One that is older may be
 * a repeat whose record is gone, so it does not run.
 */
export function issuedAtRule(issuedAt: Date | undefined, now: Date, options: RetentionOptions): IssuedAtVerdict {
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

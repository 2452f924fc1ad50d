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
export function issuedAtRule(header: string | undefined, now: Date, options: RetentionOptions): IssuedAtVerdict {
    const issuedMs = header === undefined || !/^\d{4}-\d{2}-\d{2}T/.test(header) ? NaN : Date.parse(header);
    if (Number.isNaN(issuedMs)) {
        return { kind: "missing-issued-at" };
    }
    const ageMs = now.getTime() - issuedMs;
    if (ageMs > options.retentionMs - options.clockErrorMs) {
        return { kind: "issued-too-long-ago" };
    }
    if (ageMs < -options.clockErrorMs) {
        return { kind: "issued-in-future" };
    }
    return { kind: "fresh", issuedAt: new Date(issuedMs) };
}

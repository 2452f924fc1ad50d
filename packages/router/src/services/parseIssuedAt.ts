const ISO_DATE_TIME = /^\d{4}-\d{2}-\d{2}T/;

/** Parses an `issued-at` header; undefined when it is missing or not an ISO 8601 time. */
export function parseIssuedAt(header: string | undefined): Date | undefined {
    const ms = header !== undefined && ISO_DATE_TIME.test(header) ? Date.parse(header) : NaN;
    return Number.isNaN(ms) ? undefined : new Date(ms);
}

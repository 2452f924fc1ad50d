/**
 * Returns the timeout of a call: that of its route, or the one in the `x-timeout-ms` header if it is shorter. Undefined
 * when the header is malformed.
 */
export function timeoutOf(header: string | string[] | undefined, routeTimeoutMs: number): number | undefined {
    if (header === undefined) {
        return routeTimeoutMs;
    }
    const timeoutMs = Number(header);
    return Number.isInteger(timeoutMs) && timeoutMs > 0 ? Math.min(timeoutMs, routeTimeoutMs) : undefined;
}

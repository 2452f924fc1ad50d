/** The time that a call may take: the route's, or less where the `x-timeout-ms` header asks for less; undefined when the header is malformed. */
export function timeoutOf(header: string | string[] | undefined, routeTimeoutMs: number): number | undefined {
    if (header === undefined) {
        return routeTimeoutMs;
    }
    const timeoutMs = Number(header);
    return Number.isInteger(timeoutMs) && timeoutMs > 0 ? Math.min(timeoutMs, routeTimeoutMs) : undefined;
}

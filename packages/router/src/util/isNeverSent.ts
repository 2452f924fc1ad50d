/** Error codes of undici that tell that no connection came to be. */
const connectCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** True when the error, or one that caused it, tells that no byte of the request can have left. */
export function isNeverSent(error: unknown): boolean {
    let current = error as { code?: unknown; syscall?: unknown; cause?: unknown; } | undefined;
    for (let depth = 0; current && depth < 5; depth++) {
        if (typeof current.code === "string" && (connectCodes.has(current.code) || current.syscall === "connect")) {
            return true;
        }
        current = current.cause as typeof current;
    }
    return false;
}

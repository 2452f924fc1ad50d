/** Error codes of Node and undici for a connection that could not be established. */
const connectCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Returns true when the error, or one of its causes, shows that no byte of the request can have been sent. */
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

/** A kind of refusal: HTTP status, message, and the retry-after delay used unless the router gives a better one. */
export interface RefusalKind {
    status: number;
    message: string;
    retryAfterMs?: number;
}

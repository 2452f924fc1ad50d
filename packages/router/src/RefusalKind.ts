/** A kind of refusal: HTTP status, a sentence for people, and when to come back unless the router knows better. */
export interface RefusalKind {
    status: number;
    message: string;
    retryAfterMs?: number;
}

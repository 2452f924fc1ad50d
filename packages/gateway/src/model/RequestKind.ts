/**
 * Determines whether a request may be sent again: a `repeatable` request may run any number of times, a `once` request
 * at most once, and a `stream` as its route allows.
 */
export type RequestKind = "repeatable" | "once" | "stream";

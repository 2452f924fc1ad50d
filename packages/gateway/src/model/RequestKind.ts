/**
 * What may be repeated: a `repeatable` request may run any number of times, one of kind `once` at most once, and a
 * `stream` as its route says.
 */
export type RequestKind = "repeatable" | "once" | "stream";

/** Urgency of a platform call, most urgent first. Under the rate limit, calls of more urgent classes are sent first. */
export type CallClass = "claim" | "intent" | "journal" | "read" | "status";

/** Urgency of a platform call; under the rate limit the earlier class goes first. */
export type CallClass = "claim" | "intent" | "journal" | "read" | "status";

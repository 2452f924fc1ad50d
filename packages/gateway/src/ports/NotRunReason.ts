/** Reason why an upstream did not run a request. */
export type NotRunReason = "overloaded" | "not-connected" | "other-instance";

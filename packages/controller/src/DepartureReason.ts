/** Why a healthy VM has to leave its group. */
export type DepartureReason = "maintenance-intent" | "vm-leaving";

/** Why a VM has to leave its group although it serves. */
export type DepartureReason = "maintenance-intent" | "vm-leaving";

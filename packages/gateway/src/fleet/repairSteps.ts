import type { ManagedGroup } from "./ManagedGroup.js";
import type { RepairDurations } from "./RepairDurations.js";

/** The step of a repair that each phase of a group is. */
const stepOfPhase: Record<ManagedGroup["phase"], keyof RepairDurations | undefined> = {
    open: undefined,
    lost: "givingUpMs",
    closing: "leavingMs",
    incomplete: "choosingMs",
    joining: "joiningMs",
    opening: "openingMs",
};

/** Measures the steps of repairs. */
export const repairSteps = {
    /** Returns the durations of a repair of which nothing but the detection has passed. */
    detectedAfter: (detectionMs: number): RepairDurations => ({ detectionMs }),

    /** Returns the durations of a group's repair with that of its current phase. */
    until: ({ phase, phaseSinceMs, lostAtMs, repairDurations = {} }: ManagedGroup, nowMs: number): RepairDurations => {
        const step = stepOfPhase[phase];
        return step === undefined || lostAtMs === undefined
            ? repairDurations
            : { ...repairDurations, [step]: (repairDurations[step] ?? 0) + nowMs - phaseSinceMs };
    },
};

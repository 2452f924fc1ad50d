/** The histogram of each duration that is logged when a repaired group is open. */
export const repairHistograms = [
    ["repair", "repairMs"],
    ["repairDetection", "detectionMs"],
    ["repairGivingUp", "givingUpMs"],
    ["repairLeaving", "leavingMs"],
    ["repairChoosing", "choosingMs"],
    ["repairJoining", "joiningMs"],
    ["repairOpening", "openingMs"],
] as const;

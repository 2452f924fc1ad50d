const PREFIX = "standby.";

/**
 * Names of standby groups: one-member groups that are never opened. A spare in one has the model's weights in memory
 * and can join a serving group of the model within a fraction of a second.
 */
export const standbyGroups = {
    /** Returns the name of an upstream's standby group. */
    nameOf: (upstreamId: string): string => `${PREFIX}${upstreamId}`,

    /** Returns true if the name is that of a standby group. */
    isStandby: (group: string): boolean => group.startsWith(PREFIX),
};

const PREFIX = "standby.";

/**
 * Names of one-member groups that are never opened. A spare that joins one has the model's weights in memory, so that
 * it joins a serving group of the model in a fraction of a second.
 */
export const standbyGroups = {
    /** Name of an upstream's own standby group. */
    nameOf: (upstreamId: string): string => `${PREFIX}${upstreamId}`,

    /** True for the name of a standby group. */
    isStandby: (group: string): boolean => group.startsWith(PREFIX),
};

/** A zone, its groups and the seed of its failures, for `simulateSpares`. */
export interface SpareScenario {
    name: string;
    /** Number of VMs in each fabric domain. */
    domains: Record<string, number>;
    /** Number of members of each permanent group, in the order in which the groups are added. */
    groupSizes: readonly number[];
    /** Possible sizes of the small group that operators replace with another at regular intervals. */
    changingSizes: readonly number[];
    acceleratorsPerVm: number;
    days: number;
    seed: number;
}

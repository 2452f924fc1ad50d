/** A zone, the groups in it and what fails, for `simulateSpares`. */
export interface SpareScenario {
    name: string;
    /** VMs of each fabric domain. */
    domains: Record<string, number>;
    /** Members of each group that always stands, in the order in which they are added. */
    groupSizes: readonly number[];
    /** Sizes of the small group that operators replace by another at each change. */
    changingSizes: readonly number[];
    acceleratorsPerVm: number;
    days: number;
    seed: number;
}

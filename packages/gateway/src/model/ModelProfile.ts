/** A model that a service's groups serve. */
export interface ModelProfile {
    name: string;
    /** Number of VMs in one group. */
    memberCount: number;
    /** Share of the service's work that uses this model. */
    demandShare: number;
    /** Factor on the durations in the engine profile. */
    timeFactor: number;
    /** Time to load the weights from the weight store. */
    loadFromStoreMs: number;
    /** Time to load the weights from the host's memory. */
    loadFromHostMs: number;
}

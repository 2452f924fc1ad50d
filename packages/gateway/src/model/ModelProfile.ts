/** A model that a service's groups serve. */
export interface ModelProfile {
    name: string;
    /** VMs that form one group. */
    memberCount: number;
    /** Part of the service's work that asks for this model. */
    demandShare: number;
    /** Factor on the engine's times. */
    timeFactor: number;
    /** Time to load the weights from the weight store, ms. */
    loadFromStoreMs: number;
    /** Time to load the weights from the host's memory, ms. */
    loadFromHostMs: number;
}

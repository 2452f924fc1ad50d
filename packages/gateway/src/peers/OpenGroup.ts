/** A group that has opened, as the controller tells it. */
export interface OpenGroup {
    /** Id of the upstream that takes its requests. */
    head: string;
    name: string;
    epoch: number;
    model: string;
}

/** A group that has opened, as reported by the controller. */
export interface OpenGroup {
    /** Id of the upstream that takes the group's requests. */
    head: string;
    name: string;
    epoch: number;
    model: string;
}

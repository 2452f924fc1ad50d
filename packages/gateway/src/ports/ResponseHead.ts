/** Status and headers of an upstream's answer. */
export interface ResponseHead {
    status: number;
    /** Names and values in turn, without those that concern one connection only. */
    headers: readonly string[];
}

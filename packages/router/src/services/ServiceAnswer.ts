/** A whole answer of a plain service. */
export interface ServiceAnswer {
    /** HTTP status. */
    status: number;
    body: Uint8Array;
    contentType: string;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
    /** HTTP status. */
    status: number;
    body: Uint8Array;
    contentType: string;
}

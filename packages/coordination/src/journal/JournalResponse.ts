/** A complete HTTP response to a call. */
export interface JournalResponse {
    /** HTTP status. */
    status: number;
    body: Uint8Array;
    contentType: string;
}

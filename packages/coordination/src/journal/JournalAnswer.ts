/** A whole answer of a call. */
export interface JournalAnswer {
    /** HTTP status. */
    status: number;
    body: Uint8Array;
    contentType: string;
}

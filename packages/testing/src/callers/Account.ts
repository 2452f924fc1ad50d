/** A client account as its callers know it. */
export interface Account {
    name: string;
    apiKey: string;
    /** Part of the calls that are this account's, relative to the others. */
    share: number;
}

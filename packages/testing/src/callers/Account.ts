/** A client account as its callers know it: its API key and its share of the calls. */
export interface Account {
    name: string;
    apiKey: string;
    /** Weight of this account's calls relative to those of the other accounts. */
    share: number;
}

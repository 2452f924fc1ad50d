import type { Account } from "./Account.js";

/** A call for a generation. */
export interface ChatCall {
    requestId: string;
    account: Account;
    model: string;
    /** Content of the one message, from the user. */
    content: string;
    maxTokens: number;
    stream: boolean;
    /** Longest time until the whole answer, ms. */
    timeoutMs: number;
}

import type { Account } from "./Account.js";

/** A chat call with one user message. */
export interface ChatCall {
    requestId: string;
    account: Account;
    model: string;
    /** Content of the user message. */
    content: string;
    maxTokens: number;
    stream: boolean;
    /** Longest time until the complete response. */
    timeoutMs: number;
}

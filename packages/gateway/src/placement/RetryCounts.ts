/** A gateway's requests and retries to one service within the budget's window. */
export interface RetryCounts {
    requests: number;
    retries: number;
}

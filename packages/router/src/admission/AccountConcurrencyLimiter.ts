/** Limits how many calls of each client account are in progress at once. */
export class AccountConcurrencyLimiter {
    private readonly running = new Map<string, number>();

    private constructor() {}

    /** Creates a limiter with no calls in progress. */
    static create(): AccountConcurrencyLimiter {
        return new AccountConcurrencyLimiter();
    }

    /** Returns true while fewer than `maxConcurrent` calls of the account are in progress. */
    hasCapacity(account: string, maxConcurrent: number): boolean {
        return (this.running.get(account) ?? 0) < maxConcurrent;
    }

    /** Counts a call as in progress. */
    callStarted(account: string): void {
        this.running.set(account, (this.running.get(account) ?? 0) + 1);
    }

    /** Ends the count of a call that `callStarted` counted. */
    callEnded(account: string): void {
        const rest = (this.running.get(account) ?? 0) - 1;
        if (rest > 0) {
            this.running.set(account, rest);
        }
        else {
            this.running.delete(account);
        }
    }
}

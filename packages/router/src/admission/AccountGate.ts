/** Counts the calls in progress of each client account. */
export class AccountGate {
    private readonly running = new Map<string, number>();

    private constructor() {}

    /** Creates a gate without calls. */
    static create(): AccountGate {
        return new AccountGate();
    }

    /** True while the account may start another call. */
    isOpen(account: string, maxConcurrent: number): boolean {
        return (this.running.get(account) ?? 0) < maxConcurrent;
    }

    /** Counts a call in. */
    enter(account: string): void {
        this.running.set(account, (this.running.get(account) ?? 0) + 1);
    }

    /** Counts a call out. */
    leave(account: string): void {
        const rest = (this.running.get(account) ?? 0) - 1;
        if (rest > 0) {
            this.running.set(account, rest);
        }
        else {
            this.running.delete(account);
        }
    }
}

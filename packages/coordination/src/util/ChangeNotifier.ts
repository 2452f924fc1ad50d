/** Wakes tasks that wait for the next change. */
export class ChangeNotifier {
    private waiters = new Set<() => void>();

    private constructor() {}

    /** Creates a notifier without waiters. */
    static create(): ChangeNotifier {
        return new ChangeNotifier();
    }

    /** Resolves at the next `notify`, or when `signal` aborts. Never rejects. */
    next(signal: AbortSignal): Promise<void> {
        if (signal.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const wake = () => {
                this.waiters.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            this.waiters.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
    }

    /** Wakes every waiter. */
    notify(): void {
        [...this.waiters].forEach(wake => wake());
    }
}

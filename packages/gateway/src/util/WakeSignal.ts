/** Lets one task wait until there is work for it, so that an idle process wakes up rarely. */
export class WakeSignal {
    private wake: (() => void) | undefined;

    private constructor() {}

    /** Creates a signal without a waiting task. */
    static create(): WakeSignal {
        return new WakeSignal();
    }

    /** Wakes the task if it waits; otherwise has no effect on later waits. */
    notify(): void {
        this.wake?.();
    }

    /** Resolves at the next `notify`, or when `signal` aborts. */
    async wait(signal: AbortSignal): Promise<void> {
        await new Promise<void>(resolve => {
            if (signal.aborted) {
                resolve();
                return;
            }
            const wake = () => {
                signal.removeEventListener("abort", wake);
                this.wake = undefined;
                resolve();
            };
            this.wake = wake;
            signal.addEventListener("abort", wake, { once: true });
        });
    }
}

/** Lets a task rest until there is work for it, so that an idle process wakes up rarely. */
export class WorkGate {
    private wake: (() => void) | undefined;

    private constructor() {}

    /** Creates a gate at which nobody waits. */
    static create(): WorkGate {
        return new WorkGate();
    }

    /** Wakes the task if it rests. */
    open(): void {
        this.wake?.();
    }

    /** Resolves at the next `open`, or when `signal` aborts. */
    async rest(signal: AbortSignal): Promise<void> {
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

type RaceResult<T, R> = { kind: "value"; value: T; } | { kind: "interrupted"; reason: R; };

/** Lets a task that awaits one promise after another be interrupted from outside, once. */
export class Interrupt<R> {
    private reason: R | undefined;
    private notify: ((reason: R) => void) | undefined;

    private constructor() {}

    /** Creates an interrupt that has not been triggered. */
    static create<R>(): Interrupt<R> {
        return new Interrupt<R>();
    }

    /** Ends the current wait and every later one. Only the first reason counts. */
    trigger(reason: R): void {
        this.reason ??= reason;
        this.notify?.(this.reason);
    }

    /** Waits for the promise or the interrupt, whichever comes first. */
    race<T>(promise: Promise<T>): Promise<RaceResult<T, R>> {
        return new Promise((resolve, reject) => {
            if (this.reason !== undefined) {
                resolve({ kind: "interrupted", reason: this.reason });
                return;
            }
            this.notify = reason => resolve({ kind: "interrupted", reason });
            promise.then(value => resolve({ kind: "value", value }), reject);
        });
    }
}

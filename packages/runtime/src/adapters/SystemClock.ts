import type { Clock } from "../ports/Clock.js";

/** Wall clock, monotonic clock and timers of the machine. */
export class SystemClock implements Clock {
    private constructor() {}

    /** Creates the clock. */
    static create(): SystemClock {
        return new SystemClock();
    }

    /** Returns the wall time. */
    now(): Date {
        return new Date();
    }

    /** Returns the milliseconds since the process started, on a clock that never goes back. */
    monotonicMs(): number {
        return performance.now();
    }

    /** Resolves after `durationMs`, or at once when `signal` aborts. */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, Math.max(0, durationMs));
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}

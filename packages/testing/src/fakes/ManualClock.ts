import type { Clock } from "@fescuehaven/runtime";

interface Sleeper {
    wakeAtMs: number;
    wake: () => void;
}

/** Event loop iterations after which woken tasks have usually reached their next wait. */
const SETTLE_ITERATIONS = 8;

/** A clock whose time changes only when a test advances it. */
export class ManualClock implements Clock {
    private elapsedMs = 0;
    private readonly sleepers: Sleeper[] = [];

    private constructor(private readonly startWallMs: number) {}

    /** Creates a clock whose wall time starts at 2026-01-01T00:00:00Z, or at `start`. */
    static create(start = new Date("2026-01-01T00:00:00Z")): ManualClock {
        return new ManualClock(start.getTime());
    }

    /** Returns the wall time. */
    now(): Date {
        return new Date(this.startWallMs + this.elapsedMs);
    }

    /** Returns the milliseconds since creation. */
    monotonicMs(): number {
        return this.elapsedMs;
    }

    /** Resolves when the test has advanced the clock by `durationMs`, or when `signal` aborts. */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const sleeper: Sleeper = {
                wakeAtMs: this.elapsedMs + Math.max(0, durationMs),
                wake: () => {
                    signal?.removeEventListener("abort", sleeper.wake);
                    const index = this.sleepers.indexOf(sleeper);
                    if (index >= 0) {
                        this.sleepers.splice(index, 1);
                    }
                    resolve();
                },
            };
            signal?.addEventListener("abort", sleeper.wake, { once: true });
            this.sleepers.splice(this.insertionIndex(sleeper.wakeAtMs), 0, sleeper);
        });
    }

    /** Advances the time, wakes sleepers in the order of their wake times and lets tasks run after each. */
    async advance(durationMs: number): Promise<void> {
        const targetMs = this.elapsedMs + durationMs;
        await this.settle();
        for (;;) {
            const next = this.sleepers[0];
            if (!next || next.wakeAtMs > targetMs) {
                break;
            }
            this.elapsedMs = Math.max(this.elapsedMs, next.wakeAtMs);
            next.wake();
            await this.settle();
        }
        this.elapsedMs = targetMs;
        await this.settle();
    }

    /** Advances the time without letting any task run, as when the process was paused. */
    pause(durationMs: number): void {
        this.elapsedMs += durationMs;
    }

    /** Lets tasks run until they wait for time to advance, at most `SETTLE_ITERATIONS` event loop iterations. */
    async settle(): Promise<void> {
        for (let iteration = 0; iteration < SETTLE_ITERATIONS; iteration++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Returns the index that keeps sleepers sorted by wake time, and by arrival for the same wake time. */
    private insertionIndex(wakeAtMs: number): number {
        let low = 0;
        let high = this.sleepers.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.sleepers[middle]?.wakeAtMs ?? Infinity) <= wakeAtMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

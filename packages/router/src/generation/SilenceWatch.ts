import type { Clock } from "@fescuehaven/runtime";

interface SilenceWatchOptions {
    clock: Clock;
    /** Longest time without any sign of life while the reader waits for one. */
    silenceMs: number;
    /** Longest time without a token while the reader waits for one. */
    progressMs: number;
}

/** Watches the stream of one attempt. Time counts only while the reader waits, not while the caller is slow. */
export class SilenceWatch {
    private waitingSinceMs: number | undefined;
    private waitedForTokenMs = 0;

    private constructor(private readonly options: SilenceWatchOptions) {}

    /** Creates a watch; `run` starts it. */
    static create(options: SilenceWatchOptions): SilenceWatch {
        return new SilenceWatch(options);
    }

    /** The reader begins to wait for an event. */
    waiting(): void {
        this.waitingSinceMs = this.options.clock.monotonicMs();
    }

    /** An event came. */
    received(isToken: boolean): void {
        const waitedMs = this.options.clock.monotonicMs() - (this.waitingSinceMs ?? this.options.clock.monotonicMs());
        this.waitedForTokenMs = isToken ? 0 : this.waitedForTokenMs + waitedMs;
        this.waitingSinceMs = undefined;
    }

    /** Resolves with the reason once the stream is to be abandoned, or `stopped` when `signal` aborts. */
    async run(signal: AbortSignal): Promise<"silent" | "no-progress" | "stopped"> {
        const { clock, silenceMs, progressMs } = this.options;
        while (!signal.aborted) {
            await clock.sleep(Math.min(silenceMs, progressMs) / 4, signal);
            const waitedMs = this.waitingSinceMs === undefined ? 0 : clock.monotonicMs() - this.waitingSinceMs;
            if (!signal.aborted && waitedMs >= silenceMs) {
                return "silent";
            }
            if (!signal.aborted && this.waitedForTokenMs + waitedMs >= progressMs) {
                return "no-progress";
            }
        }
        return "stopped";
    }
}

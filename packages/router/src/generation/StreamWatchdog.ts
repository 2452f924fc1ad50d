import type { Clock } from "@fescuehaven/runtime";

interface StreamWatchdogOptions {
    clock: Clock;
    /** Longest wait of the reader for any event. */
    idleTimeoutMs: number;
    /** Longest total wait of the reader for a token. */
    tokenTimeoutMs: number;
}

/** Detects a stalled stream of an attempt. Only the reader's waits count, not the time that a slow caller takes. */
export class StreamWatchdog {
    private waitingSinceMs: number | undefined;
    private waitedForTokenMs = 0;

    private constructor(private readonly options: StreamWatchdogOptions) {}

    /** Creates a watchdog; `run` starts it. */
    static create(options: StreamWatchdogOptions): StreamWatchdog {
        return new StreamWatchdog(options);
    }

    /** Records that the reader starts to wait for an event. */
    waitStarted(): void {
        this.waitingSinceMs = this.options.clock.monotonicMs();
    }

    /** Records that the reader received an event. */
    eventReceived(isToken: boolean): void {
        const waitedMs = this.options.clock.monotonicMs() - (this.waitingSinceMs ?? this.options.clock.monotonicMs());
        this.waitedForTokenMs = isToken ? 0 : this.waitedForTokenMs + waitedMs;
        this.waitingSinceMs = undefined;
    }

    /** Resolves with the reason once a timeout has passed, or with `stopped` when `signal` aborts. */
    async run(signal: AbortSignal): Promise<"silent" | "no-progress" | "stopped"> {
        const { clock, idleTimeoutMs, tokenTimeoutMs } = this.options;
        while (!signal.aborted) {
            await clock.sleep(Math.min(idleTimeoutMs, tokenTimeoutMs) / 4, signal);
            const waitedMs = this.waitingSinceMs === undefined ? 0 : clock.monotonicMs() - this.waitingSinceMs;
            if (!signal.aborted && waitedMs >= idleTimeoutMs) {
                return "silent";
            }
            if (!signal.aborted && this.waitedForTokenMs + waitedMs >= tokenTimeoutMs) {
                return "no-progress";
            }
        }
        return "stopped";
    }
}

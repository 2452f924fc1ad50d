import type { Clock } from "@fescuehaven/runtime";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";

interface EventLoopMonitorOptions {
    clock: Clock;
    metrics: GatewayMetrics;
}

/** A longer delay of the event loop shows that the process lacks processor time, and so does one shortly before. */
const MAX_DELAY_MS = 150;
const DELAY_MEMORY_MS = 2000;

/** Notices delays of the event loop by the pauses of a periodic task, so that it wakes no idle process. */
export class EventLoopMonitor {
    /** When the pause in progress is over, and when one last ended late, monotonic. */
    private dueAtMs = Infinity;
    private delayedAtMs = -Infinity;
    private lastDelayMs = 0;

    private constructor(private readonly options: EventLoopMonitorOptions) {}

    /** Creates a monitor that has noticed no delay. */
    static create(options: EventLoopMonitorOptions): EventLoopMonitor {
        return new EventLoopMonitor(options);
    }

    /** True while the event loop is delayed, and shortly afterwards. */
    get isDelayed(): boolean {
        const nowMs = this.options.clock.monotonicMs();
        return nowMs - this.dueAtMs > MAX_DELAY_MS || nowMs - this.delayedAtMs < DELAY_MEMORY_MS;
    }

    /** Time for which what this process has received may have waited: the present delay, or a long one shortly before. */
    get delayMs(): number {
        const nowMs = this.options.clock.monotonicMs();
        const isRecent = nowMs - this.delayedAtMs < DELAY_MEMORY_MS;
        return Math.max(0, nowMs - this.dueAtMs, isRecent ? this.lastDelayMs : 0);
    }

    /** Resolves after `durationMs`, or when `signal` aborts. Called by one task, one pause after the other. */
    async sleep(durationMs: number, signal: AbortSignal): Promise<void> {
        const { clock, metrics } = this.options;
        this.dueAtMs = clock.monotonicMs() + durationMs;
        await clock.sleep(durationMs, signal);
        if (signal.aborted) {
            return;
        }
        const nowMs = clock.monotonicMs();
        const delayMs = Math.max(0, nowMs - this.dueAtMs);
        metrics.observe("eventLoopDelay", delayMs);
        if (delayMs > MAX_DELAY_MS) {
            this.delayedAtMs = nowMs;
            this.lastDelayMs = delayMs;
        }
    }
}

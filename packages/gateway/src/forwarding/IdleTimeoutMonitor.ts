import type { Clock } from "@fescuehaven/runtime";
import { WakeSignal } from "../util/WakeSignal.js";

/** Idle timer of one exchange with an upstream. */
interface IdleTimer {
    /** Restarts the timer with a new timeout. */
    reset(timeoutMs: number): void;

    /** Stops the timer because the exchange has ended. */
    stop(): void;
}

interface MonitoredExchange {
    expiresAtMs: number;
    onTimeout: () => number | undefined;
}

/** Interval between checks of all exchanges: a small fraction of the shortest timeout. */
const SWEEP_INTERVAL_MS = 50;

/** Detects exchanges in which nothing has been received within their timeout. */
export class IdleTimeoutMonitor {
    /** Interval between checks whether a request at a silent upstream can be sent elsewhere by now. */
    readonly recheckIntervalMs = 100;
    private readonly exchanges = new Set<MonitoredExchange>();
    private readonly wakeSignal = WakeSignal.create();

    private constructor(private readonly clock: Clock) {}

    /** Creates a monitor without exchanges; timeouts are detected while `run` is active. */
    static create(clock: Clock): IdleTimeoutMonitor {
        return new IdleTimeoutMonitor(clock);
    }

    /** Starts the timer of an exchange. `onTimeout` may return a further time to wait in ms; undefined ends it. */
    watch(timeoutMs: number, onTimeout: () => number | undefined): IdleTimer {
        const exchange: MonitoredExchange = { expiresAtMs: this.clock.monotonicMs() + timeoutMs, onTimeout };
        this.exchanges.add(exchange);
        this.wakeSignal.notify();
        return {
            reset: nextTimeoutMs => {
                exchange.expiresAtMs = this.clock.monotonicMs() + nextTimeoutMs;
            },
            stop: () => {
                this.exchanges.delete(exchange);
            },
        };
    }

    /** Checks the exchanges until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.exchanges.size === 0) {
                await this.wakeSignal.wait(signal);
            }
            await this.clock.sleep(SWEEP_INTERVAL_MS, signal);
            const nowMs = this.clock.monotonicMs();
            for (const exchange of [...this.exchanges]) {
                if (exchange.expiresAtMs <= nowMs) {
                    this.exchanges.delete(exchange);
                    const extensionMs = exchange.onTimeout();
                    if (extensionMs !== undefined) {
                        exchange.expiresAtMs = nowMs + extensionMs;
                        this.exchanges.add(exchange);
                    }
                }
            }
        }
    }
}

import type { Clock } from "@fescuehaven/runtime";
import { WakeSignal } from "../util/WakeSignal.js";

/** One exchange that must not fall silent. */
interface GuardedExchange {
    /** Restarts the wait, with the limit for what follows. */
    touch(limitMs: number): void;

    /** The exchange has ended. */
    end(): void;
}

interface Entry {
    untilMs: number;
    onSilence: () => number | undefined;
}

/** Exchanges are looked at this often, ms: a small part of the shortest limit. */
const SWEEP_MS = 50;

/** Notices exchanges in which nothing has come for too long. */
export class IdleTimeoutMonitor {
    private readonly entries = new Set<Entry>();
    private readonly wakeSignal = WakeSignal.create();

    private constructor(private readonly clock: Clock) {}

    /** Creates a monitor without exchanges. */
    static create(clock: Clock): IdleTimeoutMonitor {
        return new IdleTimeoutMonitor(clock);
    }

    /** Watches an exchange. `onSilence` may give a further time to wait, ms. */
    watch(limitMs: number, onSilence: () => number | undefined): GuardedExchange {
        const entry: Entry = { untilMs: this.clock.monotonicMs() + limitMs, onSilence };
        this.entries.add(entry);
        this.wakeSignal.notify();
        return {
            touch: nextLimitMs => {
                entry.untilMs = this.clock.monotonicMs() + nextLimitMs;
            },
            end: () => {
                this.entries.delete(entry);
            },
        };
    }

    /** Sweeps until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.entries.size === 0) {
                await this.wakeSignal.wait(signal);
            }
            await this.clock.sleep(SWEEP_MS, signal);
            const nowMs = this.clock.monotonicMs();
            for (const entry of [...this.entries]) {
                if (entry.untilMs <= nowMs) {
                    this.entries.delete(entry);
                    const moreMs = entry.onSilence();
                    if (moreMs !== undefined) {
                        entry.untilMs = nowMs + moreMs;
                        this.entries.add(entry);
                    }
                }
            }
        }
    }
}

import type { Clock } from "@fescuehaven/runtime";
import type { CallClass } from "./CallClass.js";

/** Order of the classes: the lower number goes first. */
const classRank: Record<CallClass, number> = { claim: 0, intent: 1, journal: 2, read: 3, status: 4 };

/** Share of the bucket that a class leaves to the ones before it. */
const classReserve: Record<CallClass, number> = { claim: 0, intent: 0.05, journal: 0.1, read: 0.2, status: 0.4 };

/** What a `CallLimiter` is made of. */
interface CallLimiterOptions {
    clock: Clock;
    callsPerSecond: number;
    /** Longest time that a call waits for its turn, ms. */
    maxWaitMs: number;
}

/** Result of asking for a turn. */
type TurnOutcome = { kind: "granted"; } | { kind: "refused"; retryAfterMs: number; };

/** Keeps a process's platform calls under its rate, urgent classes first. */
export class CallLimiter {
    private tokens: number;
    private filledAtMs: number;
    private readonly waiting: number[] = [0, 0, 0, 0, 0];

    private constructor(private readonly options: CallLimiterOptions) {
        this.tokens = this.burst;
        this.filledAtMs = options.clock.monotonicMs();
    }

    /** Creates a limiter with a full bucket of one second's calls. */
    static create(options: CallLimiterOptions): CallLimiter {
        return new CallLimiter(options);
    }

    /** Waits for a turn of the class; refuses when it would take longer than the longest wait. */
    async turn(callClass: CallClass, signal?: AbortSignal): Promise<TurnOutcome> {
        const rank = classRank[callClass];
        const startedMs = this.options.clock.monotonicMs();
        this.waiting[rank]! += 1;
        try {
            for (;;) {
                if (this.mayGo(callClass)) {
                    this.tokens -= 1;
                    return { kind: "granted" };
                }
                const pauseMs = this.pauseMs(callClass);
                const waitedMs = this.options.clock.monotonicMs() - startedMs;
                if (signal?.aborted || waitedMs + pauseMs > this.options.maxWaitMs) {
                    return { kind: "refused", retryAfterMs: Math.ceil(pauseMs) };
                }
                await this.options.clock.sleep(pauseMs, signal);
            }
        }
        finally {
            this.waiting[rank]! -= 1;
        }
    }

    private get burst(): number {
        return Math.max(1, this.options.callsPerSecond);
    }

    private mayGo(callClass: CallClass): boolean {
        this.refill();
        const ahead = this.waiting.slice(0, classRank[callClass]).reduce((sum, count) => sum + count, 0);
        return this.tokens - ahead >= 1 + this.reserveOf(callClass);
    }

    /** Tokens kept back for more urgent classes; never so many that the class starves with a small bucket. */
    private reserveOf(callClass: CallClass): number {
        return Math.min(classReserve[callClass] * this.burst, this.burst - 1);
    }

    private pauseMs(callClass: CallClass): number {
        const missing = Math.max(0.1, 1 + this.reserveOf(callClass) - this.tokens);
        return Math.max(1, missing * 1000 / this.options.callsPerSecond);
    }

    private refill(): void {
        const nowMs = this.options.clock.monotonicMs();
        const gained = (nowMs - this.filledAtMs) * this.options.callsPerSecond / 1000;
        this.tokens = Math.min(this.burst, this.tokens + gained);
        this.filledAtMs = nowMs;
    }
}

import type { Clock } from "@fescuehaven/runtime";
import type { CallClass } from "./CallClass.js";

/** Rank of each class; calls of a lower rank are sent first. */
const classRank: Record<CallClass, number> = { claim: 0, intent: 1, journal: 2, read: 3, status: 4 };

/** Share of the token bucket that a class leaves to more urgent classes. */
const classReserve: Record<CallClass, number> = { claim: 0, intent: 0.05, journal: 0.1, read: 0.2, status: 0.4 };

interface CallLimiterOptions {
    clock: Clock;
    callsPerSecond: number;
    /** Longest time that a call waits for permission to be sent. */
    maxWaitMs: number;
}

/** Whether a call may be sent now. */
type AcquireOutcome = { kind: "granted"; } | { kind: "refused"; retryAfterMs: number; };

/** Token bucket that limits the rate of a process's platform calls; more urgent classes go first. */
export class CallLimiter {
    private tokens: number;
    private refilledAtMs: number;
    private readonly waiting: number[] = [0, 0, 0, 0, 0];

    private constructor(private readonly options: CallLimiterOptions) {
        this.tokens = this.burst;
        this.refilledAtMs = options.clock.monotonicMs();
    }

    /** Creates a limiter whose bucket is full: one second's calls, at least one. */
    static create(options: CallLimiterOptions): CallLimiter {
        return new CallLimiter(options);
    }

    /** Waits until a call of the class may be sent. Refuses if that takes longer than `maxWaitMs` or `signal` aborts. */
    async acquire(callClass: CallClass, signal?: AbortSignal): Promise<AcquireOutcome> {
        const rank = classRank[callClass];
        const startedMs = this.options.clock.monotonicMs();
        this.waiting[rank]! += 1;
        try {
            for (;;) {
                if (this.canSend(callClass)) {
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

    private canSend(callClass: CallClass): boolean {
        this.refill();
        const ahead = this.waiting.slice(0, classRank[callClass]).reduce((sum, count) => sum + count, 0);
        return this.tokens - ahead >= 1 + this.reservedTokens(callClass);
    }

    /** Tokens reserved for more urgent classes; never so many that the class starves with a small bucket. */
    private reservedTokens(callClass: CallClass): number {
        return Math.min(classReserve[callClass] * this.burst, this.burst - 1);
    }

    private pauseMs(callClass: CallClass): number {
        const missing = Math.max(0.1, 1 + this.reservedTokens(callClass) - this.tokens);
        return Math.max(1, missing * 1000 / this.options.callsPerSecond);
    }

    private refill(): void {
        const nowMs = this.options.clock.monotonicMs();
        const gained = (nowMs - this.refilledAtMs) * this.options.callsPerSecond / 1000;
        this.tokens = Math.min(this.burst, this.tokens + gained);
        this.refilledAtMs = nowMs;
    }
}

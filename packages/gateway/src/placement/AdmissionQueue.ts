import type { Clock, Random } from "@fescuehaven/runtime";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";
import { WakeSignal } from "../util/WakeSignal.js";
import type { AdmissionOutcome } from "./AdmissionOutcome.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";

/** What an `AdmissionQueue` is made of. */
interface AdmissionQueueOptions {
    clock: Clock;
    random: Random;
}

interface Waiter {
    request: AdmissionRequest<unknown>;
    sinceMs: number;
    settle: (outcome: AdmissionOutcome<unknown>) => void;
}

interface Pool {
    waiters: Waiter[];
    /** Recent placements, from which the pool's pace is read. */
    admitted: SlidingWindowCounter;
}

/** Waiting requests are looked at this often for places that nobody announced and for hope that has gone, ms. */
const SWEEP_MS = 25;
/** The pace of a pool is read from this much of its past, ms. */
const PACE_WINDOW_MS = 2000;
/** Shortest advice for when to come back, ms: below it, the same state would be found again. */
const MIN_RETRY_AFTER_MS = 300;
/** Longest advice, ms: callers come back within a third of their time, or not at all. */
const MAX_RETRY_AFTER_MS = 2000;
/** Those who are refused together come back spread over this part of the advice. */
const RETRY_SPREAD = 0.5;

/**
 * Where requests wait for a place. Made for bursts beyond the places and for the seconds in which groups are formed
 * anew: whoever can still be on time goes before whoever is late already, and a request that will not get a place in
 * time is refused at once, with a time to come back that is spread over callers.
 */
export class AdmissionQueue {
    private readonly pools = new Map<string, Pool>();
    private readonly wakeSignal = WakeSignal.create();

    private constructor(private readonly options: AdmissionQueueOptions) {}

    /** Creates an empty queue. */
    static create(options: AdmissionQueueOptions): AdmissionQueue {
        return new AdmissionQueue(options);
    }

    /** Requests that wait in each pool. */
    waiting(): Array<[string, number]> {
        return [...this.pools].map(([name, pool]) => [name, pool.waiters.length]);
    }

    /** Waits for a place. */
    acquire<P>(request: AdmissionRequest<P>, signal: AbortSignal): Promise<AdmissionOutcome<P>> {
        const pool = this.pool(request.pool);
        if (signal.aborted) {
            return Promise.resolve({ kind: "aborted" });
        }
        if (!pool.waiters.some(waiter => waiter.request.priority <= request.priority)) {
            const slot = request.tryAcquireSlot();
            if (slot !== undefined) {
                pool.admitted.record();
                return Promise.resolve({ kind: "admitted", slot, waitedMs: 0 });
            }
        }
        const ahead = pool.waiters.filter(waiter => waiter.request.priority <= request.priority).length;
        const refusal = this.refusal(pool, request, ahead);
        return refusal ? Promise.resolve(refusal) : this.wait(pool, request, signal);
    }

    /** Looks for places after something has ended or changed. */
    admitWaiting(): void {
        for (const pool of this.pools.values()) {
            this.admitWaitingIn(pool);
        }
    }

    /** Sweeps until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (!this.hasWaiters) {
                await this.wakeSignal.wait(signal);
            }
            await this.options.clock.sleep(SWEEP_MS, signal);
            this.admitWaiting();
        }
    }

    private get hasWaiters(): boolean {
        return [...this.pools.values()].some(pool => pool.waiters.length > 0);
    }

    private wait<P>(pool: Pool, request: AdmissionRequest<P>, signal: AbortSignal): Promise<AdmissionOutcome<P>> {
        return new Promise(resolve => {
            const leave = () => waiter.settle({ kind: "aborted" });
            const waiter: Waiter = {
                request,
                sinceMs: this.options.clock.monotonicMs(),
                settle: outcome => {
                    signal.removeEventListener("abort", leave);
                    pool.waiters = pool.waiters.filter(other => other !== waiter);
                    resolve(outcome as AdmissionOutcome<P>);
                },
            };
            signal.addEventListener("abort", leave, { once: true });
            pool.waiters.push(waiter);
            this.wakeSignal.notify();
        });
    }

    private admitWaitingIn(pool: Pool): void {
        const nowMs = this.options.clock.monotonicMs();
        const ordered = [...pool.waiters].sort((left, right) =>
            rankOf(left, nowMs) - rankOf(right, nowMs)
            || left.request.priority - right.request.priority || left.sinceMs - right.sinceMs
        );
        let ahead = 0;
        for (const waiter of ordered) {
            const slot = waiter.request.tryAcquireSlot();
            if (slot !== undefined) {
                pool.admitted.record();
                waiter.settle({ kind: "admitted", slot, waitedMs: nowMs - waiter.sinceMs });
                continue;
            }
            const refusal = this.refusal(pool, waiter.request, ahead);
            if (refusal) {
                waiter.settle(refusal);
                continue;
            }
            ahead += 1;
        }
    }

    private refusal(
        pool: Pool,
        request: AdmissionRequest<unknown>,
        ahead: number,
    ): (AdmissionOutcome<never> & { kind: "refused"; }) | undefined {
        const nowMs = this.options.clock.monotonicMs();
        const expectedWaitMs = request.expectedWaitMs();
        const waitMs = expectedWaitMs + this.queueMs(pool, ahead);
        if (nowMs + waitMs <= request.usefulUntilMs) {
            return undefined;
        }
        const adviceMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
        const spreadMs = adviceMs * RETRY_SPREAD * this.options.random.next();
        const reason = expectedWaitMs === Infinity ? "nothing serves the request now" : "no place in time";
        return { kind: "refused", retryAfterMs: adviceMs + spreadMs, reason };
    }

    /** Time until those ahead have got a place, at the pool's recent pace. */
    private queueMs(pool: Pool, ahead: number): number {
        const perMs = Math.max(pool.admitted.count, 1) / PACE_WINDOW_MS;
        return ahead / perMs;
    }

    private pool(name: string): Pool {
        const pool = this.pools.get(name) ?? {
            waiters: [],
            admitted: SlidingWindowCounter.create(this.options.clock, PACE_WINDOW_MS),
        };
        this.pools.set(name, pool);
        return pool;
    }
}

/** Those who can be on time go before those who cannot. */
function rankOf(waiter: Waiter, nowMs: number): number {
    return nowMs <= waiter.request.onTimeUntilMs ? 0 : 1;
}

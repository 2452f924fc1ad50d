import type { AccountConcurrencyLimiter } from "./AccountConcurrencyLimiter.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";
import { FairQueue } from "./FairQueue.js";

interface WaitingEntry {
    account: string;
    weight: number;
    request: AdmissionRequest<unknown>;
    admit(slot: unknown): void;
}

/** Weight of the newest interval in the moving average. */
const AVERAGE_WEIGHT = 0.1;
/** Longer intervals enter the average with this length. */
const MAX_INTERVAL_MS = 10_000;
/** A pool without waiting calls or released slots for this long is removed. */
const IDLE_EXPIRY_MS = 300_000;

/** The waiting calls of one pool, and the average interval at which slots become free there. */
export class WaitingPool {
    private readonly retrying: WaitingEntry[] = [];
    private readonly queue = FairQueue.create<WaitingEntry>();
    private averageIntervalMs = 0;
    /** Start of the interval that the next release ends: the previous release, or when calls began to wait. */
    private intervalStartMs: number;
    private lastUsedMs: number;

    private constructor(nowMs: number) {
        this.lastUsedMs = nowMs;
        this.intervalStartMs = nowMs;
    }

    /** Creates an empty pool. */
    static create(nowMs: number): WaitingPool {
        return new WaitingPool(nowMs);
    }

    /** Number of waiting calls. */
    get size(): number {
        return this.queue.size + this.retrying.length;
    }

    /** Returns the number of calls of an account that wait for their first slot. */
    countWaiting(account: string): number {
        return this.queue.sizeOf(account);
    }

    /** Returns true while a call waits whose account may start another call; new calls then queue behind it. */
    hasEligible(accountLimiter: AccountConcurrencyLimiter): boolean {
        return this.retrying.length > 0
            || this.queue.heads().some(({ request }) =>
                !request.countsForAccount
                || accountLimiter.hasCapacity(request.caller.account, request.caller.maxConcurrentRequests)
            );
    }

    /** Adds a call and returns the number of calls that will be served before it. */
    push(entry: WaitingEntry, nowMs: number): number {
        if (this.size === 0) {
            this.intervalStartMs = nowMs;
        }
        if (entry.request.wasAdmitted) {
            this.retrying.push(entry);
            return this.retrying.length - 1;
        }
        return this.retrying.length + this.queue.push(entry);
    }

    /** Removes a call without admitting it. */
    remove(entry: WaitingEntry): void {
        const index = this.retrying.indexOf(entry);
        if (index >= 0) {
            this.retrying.splice(index, 1);
        }
        else {
            this.queue.remove(entry);
        }
    }

    /** Records that a slot was released. */
    recordRelease(nowMs: number): void {
        const intervalMs = Math.min(nowMs - this.intervalStartMs, MAX_INTERVAL_MS);
        this.intervalStartMs = nowMs;
        this.lastUsedMs = nowMs;
        if (this.size > 0) {
            const weight = this.averageIntervalMs === 0 ? 1 : AVERAGE_WEIGHT;
            this.averageIntervalMs += (intervalMs - this.averageIntervalMs) * weight;
        }
    }

    /** Estimates the wait of the call at this position; 0 before the first interval was measured. */
    estimateWaitMs(position: number): number {
        return Math.ceil(position * this.averageIntervalMs);
    }

    /** Admits waiting calls for as long as slots are free. */
    admitWaiting(tryAdmit: (request: AdmissionRequest<unknown>) => unknown): void {
        for (const entry of [...this.retrying]) {
            const slot = tryAdmit(entry.request);
            if (slot !== undefined) {
                this.remove(entry);
                entry.admit(slot);
            }
        }
        while (this.admitNext(tryAdmit)) {
            // Each iteration admits the next call.
        }
    }

    /** Returns true when the pool can be removed. */
    isIdle(nowMs: number): boolean {
        return this.size === 0 && nowMs - this.lastUsedMs > IDLE_EXPIRY_MS;
    }

    private admitNext(tryAdmit: (request: AdmissionRequest<unknown>) => unknown): boolean {
        for (const entry of this.queue.heads()) {
            const slot = tryAdmit(entry.request);
            if (slot !== undefined) {
                this.queue.serve(entry);
                entry.admit(slot);
                return true;
            }
        }
        return false;
    }
}

import type { AccountGate } from "./AccountGate.js";
import { FairQueue } from "./FairQueue.js";
import type { PlacementRequest } from "./PlacementRequest.js";

interface WaitingEntry {
    account: string;
    weight: number;
    request: PlacementRequest<unknown>;
    settle(place: unknown): void;
}

/** Weight of the newest interval in the average. */
const AVERAGE_WEIGHT = 0.1;
/** Longest interval that counts. */
const MAX_INTERVAL_MS = 10_000;
/** A pool without waiting calls or releases for this long is dropped. */
const IDLE_MS = 300_000;

/** The calls that wait for upstreams of one pool, and how fast places become free there. */
export class WaitingPool {
    private readonly admitted: WaitingEntry[] = [];
    private readonly queue = FairQueue.create<WaitingEntry>();
    private averageIntervalMs = 0;
    /** Start of the interval that the next release ends: the last release, or when calls began to wait. */
    private intervalStartMs: number;
    private usedMs: number;

    private constructor(nowMs: number) {
        this.usedMs = nowMs;
        this.intervalStartMs = nowMs;
    }

    /** Creates an empty pool. */
    static create(nowMs: number): WaitingPool {
        return new WaitingPool(nowMs);
    }

    /** Calls waiting. */
    get size(): number {
        return this.queue.size + this.admitted.length;
    }

    /** Calls of an account that wait for their first place. */
    waitingOf(account: string): number {
        return this.queue.sizeOf(account);
    }

    /** True while a call waits whose account may start one: newcomers then go behind it. */
    hasServable(gate: AccountGate): boolean {
        return this.admitted.length > 0
            || this.queue.heads().some(({ request }) =>
                !request.countsForAccount || gate.isOpen(request.caller.account, request.caller.maxConcurrentRequests)
            );
    }

    /** Appends a call; returns how many are served before it. */
    push(entry: WaitingEntry, nowMs: number): number {
        if (this.size === 0) {
            this.intervalStartMs = nowMs;
        }
        if (entry.request.isAdmitted) {
            this.admitted.push(entry);
            return this.admitted.length - 1;
        }
        return this.admitted.length + this.queue.push(entry);
    }

    /** Takes a call out unserved. */
    remove(entry: WaitingEntry): void {
        const index = this.admitted.indexOf(entry);
        if (index >= 0) {
            this.admitted.splice(index, 1);
        }
        else {
            this.queue.remove(entry);
        }
    }

    /** Notes that a call ended. */
    noteRelease(nowMs: number): void {
        const intervalMs = Math.min(nowMs - this.intervalStartMs, MAX_INTERVAL_MS);
        this.intervalStartMs = nowMs;
        this.usedMs = nowMs;
        if (this.size > 0) {
            const weight = this.averageIntervalMs === 0 ? 1 : AVERAGE_WEIGHT;
            this.averageIntervalMs += (intervalMs - this.averageIntervalMs) * weight;
        }
    }

    /** Time until the call at this position is likely to be served; 0 while nothing is known. */
    estimateWaitMs(position: number): number {
        return Math.ceil(position * this.averageIntervalMs);
    }

    /** Serves calls as long as places can be had. */
    pump(tryPlace: (request: PlacementRequest<unknown>) => unknown): void {
        for (const entry of [...this.admitted]) {
            const place = tryPlace(entry.request);
            if (place !== undefined) {
                this.remove(entry);
                entry.settle(place);
            }
        }
        while (this.serveOne(tryPlace)) {
            // Each round serves the call whose turn it is.
        }
    }

    /** True when nothing needs this pool any more. */
    isIdle(nowMs: number): boolean {
        return this.size === 0 && nowMs - this.usedMs > IDLE_MS;
    }

    private serveOne(tryPlace: (request: PlacementRequest<unknown>) => unknown): boolean {
        for (const entry of this.queue.heads()) {
            const place = tryPlace(entry.request);
            if (place !== undefined) {
                this.queue.serve(entry);
                entry.settle(place);
                return true;
            }
        }
        return false;
    }
}

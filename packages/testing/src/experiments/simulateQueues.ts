import { FairQueue } from "@fescuehaven/router";
import { SeededRandom } from "../fakes/SeededRandom.js";

interface QueueSimulationOptions {
    /** `fair`: weighted fair queueing over client accounts; `fifo`: first in, first out. */
    policy: "fair" | "fifo";
    accounts: ReadonlyArray<{ name: string; weight: number; callsPerSecond: number; maxQueued: number; }>;
    slots: number;
    serviceMs: number;
    durationMs: number;
}

interface AccountResult {
    answered: number;
    refused: number;
    /** Median time that served calls waited in the queue. */
    medianWaitMs: number;
    p95WaitMs: number;
}

interface WaitingCall {
    account: string;
    weight: number;
    arrivedMs: number;
}

const TICK_MS = 10;
const SEED = 12;

/** Simulates client accounts that send calls to a fixed number of slots. Returns the result of each account. */
export function simulateQueues(options: QueueSimulationOptions): Map<string, AccountResult> {
    const random = SeededRandom.create(SEED);
    const fair = FairQueue.create<WaitingCall>();
    const fifo: WaitingCall[] = [];
    const waits = new Map(options.accounts.map(({ name }) => [name, [] as number[]]));
    const refused = new Map(options.accounts.map(({ name }) => [name, 0]));
    const queued = new Map(options.accounts.map(({ name }) => [name, 0]));
    let ends: number[] = [];
    for (let nowMs = 0; nowMs < options.durationMs; nowMs += TICK_MS) {
        for (const { name, weight, callsPerSecond, maxQueued } of options.accounts) {
            const mean = (callsPerSecond * TICK_MS) / 1000;
            const count = Math.floor(mean) + (random.next() < mean % 1 ? 1 : 0);
            for (let call = 0; call < count; call++) {
                if ((queued.get(name) ?? 0) >= maxQueued) {
                    refused.set(name, (refused.get(name) ?? 0) + 1);
                    continue;
                }
                queued.set(name, (queued.get(name) ?? 0) + 1);
                const item = { account: name, weight, arrivedMs: nowMs };
                fifo.push(item);
                fair.push(item);
            }
        }
        ends = ends.filter(endMs => endMs > nowMs);
        while (ends.length < options.slots) {
            const next = options.policy === "fair" ? fair.heads()[0] : fifo.shift();
            if (!next) {
                break;
            }
            fair.serve(next);
            queued.set(next.account, (queued.get(next.account) ?? 0) - 1);
            waits.get(next.account)?.push(nowMs - next.arrivedMs);
            ends.push(nowMs + options.serviceMs);
        }
    }
    return new Map(
        options.accounts.map(({ name }) => [name, summarize(waits.get(name) ?? [], refused.get(name) ?? 0)]),
    );
}

function summarize(waits: number[], refused: number): AccountResult {
    const sorted = [...waits].sort((a, b) => a - b);
    const quantile = (part: number): number => sorted[Math.floor((sorted.length - 1) * part)] ?? 0;
    return { answered: sorted.length, refused, medianWaitMs: quantile(0.5), p95WaitMs: quantile(0.95) };
}

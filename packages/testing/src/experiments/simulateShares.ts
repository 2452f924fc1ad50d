import type { ConcurrencyShare } from "@fescuehaven/router";
import { UpstreamLimits } from "@fescuehaven/router";
import { ManualClock } from "../fakes/ManualClock.js";
import { SeededRandom } from "../fakes/SeededRandom.js";

interface ShareSimulationOptions {
    /** Creates the share of router `index`; `inFlight` returns the calls at an upstream of all other routers. */
    createShare: (index: number, inFlight: (upstream: string, exceptRouter: number) => number) => ConcurrencyShare;
    /** Fraction of the calls that arrives at each router. */
    arrivalParts: readonly number[];
    /** Number of serving groups; all are cold at the start. */
    groups: number;
    coldLimit: number;
    warmLimit: number;
    callsPerSecond: number;
    serviceMs: number;
    durationMs: number;
}

interface ShareResult {
    answered: number;
    waiting: number;
    /** Fraction of the actual capacity that was idle while calls waited. */
    unusedPart: number;
    /** Highest number of concurrent calls at one group, as a fraction of its capacity at that time. */
    worstLoadPart: number;
}

const TICK_MS = 20;
const SEED = 11;
/** Number of completed calls after which a group is warm. */
const WARM_UP_CALLS = 40;

interface RunningCall {
    endMs: number;
    group: number;
    release: () => void;
}

/** Simulates calls at routers while groups start cold; measures the capacity that the shares leave unused. */
export async function simulateShares(options: ShareSimulationOptions): Promise<ShareResult> {
    const clock = ManualClock.create();
    const random = SeededRandom.create(SEED);
    const limits: UpstreamLimits[] = [];
    const inFlight = (upstream: string, except: number): number =>
        limits.reduce((sum, each, index) => sum + (index === except ? 0 : each.inFlight(upstream)), 0);
    options.arrivalParts.forEach((_, index) =>
        limits.push(UpstreamLimits.create({ clock, share: options.createShare(index, inFlight) }))
    );
    const waiting = limits.map(() => 0);
    const completed = Array.from({ length: options.groups }, () => 0);
    const result: ShareResult = { answered: 0, waiting: 0, unusedPart: 0, worstLoadPart: 0 };
    let running: RunningCall[] = [];
    let capacitySum = 0;
    let unusedSum = 0;
    const capacityOf = (group: number): number => {
        const warmth = Math.min(1, (completed[group] ?? 0) / WARM_UP_CALLS);
        return options.coldLimit + (options.warmLimit - options.coldLimit) * warmth;
    };
    for (let nowMs = 0; nowMs < options.durationMs; nowMs += TICK_MS) {
        addArrivals(options, random, waiting);
        running = completeCalls(running, nowMs, completed, result);
        limits.forEach((each, router) => {
            while ((waiting[router] ?? 0) > 0) {
                const started = startCall(each, options, nowMs);
                if (!started) {
                    break;
                }
                running.push(started);
                waiting[router] = (waiting[router] ?? 0) - 1;
            }
        });
        const total = waiting.reduce((sum, count) => sum + count, 0);
        for (let group = 0; group < options.groups; group++) {
            const load = inFlight(`g${group}`, -1);
            const capacity = capacityOf(group);
            result.worstLoadPart = Math.max(result.worstLoadPart, load / Math.floor(capacity));
            if (total > 0) {
                capacitySum += capacity;
                unusedSum += Math.min(Math.max(0, capacity - load), total);
            }
        }
        clock.pause(TICK_MS);
    }
    result.waiting = waiting.reduce((sum, count) => sum + count, 0);
    result.unusedPart = capacitySum === 0 ? 0 : unusedSum / capacitySum;
    return result;
}

function addArrivals(options: ShareSimulationOptions, random: SeededRandom, waiting: number[]): void {
    const mean = (options.callsPerSecond * TICK_MS) / 1000;
    const count = Math.floor(mean) + (random.next() < mean % 1 ? 1 : 0);
    for (let call = 0; call < count; call++) {
        let rest = random.next();
        let router = options.arrivalParts.findIndex(part => (rest -= part) < 0);
        router = router < 0 ? options.arrivalParts.length - 1 : router;
        waiting[router] = (waiting[router] ?? 0) + 1;
    }
}

function completeCalls(running: RunningCall[], nowMs: number, completed: number[], result: ShareResult): RunningCall[] {
    return running.filter(call => {
        if (call.endMs > nowMs) {
            return true;
        }
        call.release();
        completed[call.group] = (completed[call.group] ?? 0) + 1;
        result.answered += 1;
        return false;
    });
}

function startCall(limits: UpstreamLimits, options: ShareSimulationOptions, nowMs: number): RunningCall | undefined {
    const groups = Array.from({ length: options.groups }, (_, group) => group)
        .sort((a, b) => limits.inFlight(`g${a}`) - limits.inFlight(`g${b}`));
    for (const group of groups) {
        const lease = limits.tryAcquire({
            name: `g${group}`,
            identity: "1",
            warmLimit: options.warmLimit,
            coldLimit: options.coldLimit,
        });
        if (lease) {
            return { endMs: nowMs + options.serviceMs, group, release: () => lease.release({ kind: "completed" }) };
        }
    }
    return undefined;
}

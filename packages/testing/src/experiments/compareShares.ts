import type { VmRecord } from "@fescuehaven/platform";
import { type ConcurrencyShare, StaticShare } from "@fescuehaven/router";
import type { Comparison } from "./Comparison.js";
import { simulateShares } from "./simulateShares.js";

const ARRIVALS = [
    { arrivals: "2 routers, even", parts: [0.5, 0.5] },
    { arrivals: "2 routers, 80:20", parts: [0.8, 0.2] },
    { arrivals: "2 routers, one only", parts: [1, 0] },
    { arrivals: "53 routers, even", parts: Array.from({ length: 53 }, () => 1 / 53) },
];

const LOAD = {
    groups: 6,
    coldLimit: 4,
    warmLimit: 32,
    callsPerSecond: 120,
    serviceMs: 1000,
    durationMs: 20_000,
};

type InFlight = (upstream: string, except: number) => number;
type CreateShare = (entryVms: VmRecord[]) => (index: number, inFlight: InFlight) => ConcurrencyShare;

const policies: Record<string, CreateShare> = {
    "static": entryVms => {
        const vms = { version: 1, list: () => entryVms, get: () => undefined };
        return index => StaticShare.create({ vms, zone: "zone-a", address: `10.0.0.${index}`, plannedRouters: 1 });
    },
    "exact": () => (index, inFlight) => ({
        allowed: (upstream, limit) => Math.max(0, limit - inFlight(upstream, index)),
    }),
    "no division": () => () => ({ allowed: (_upstream, limit) => limit }),
};

/** Compares static shares of a cold upstream's slots with exact knowledge of all calls in progress, and no division. */
export const compareShares: Comparison = {
    description: "static shares of cold upstreams against exact knowledge and no division",
    run: async () => {
        const rows = [];
        for (const { arrivals, parts } of ARRIVALS) {
            const entryVms = parts.map((_, index) => entryVm(index));
            for (const [policy, create] of Object.entries(policies)) {
                const createShare = create(entryVms);
                const result = await simulateShares({ ...LOAD, arrivalParts: parts, createShare });
                rows.push({ arrivals, policy, ...result });
            }
        }
        return [{ title: "slots of cold upstreams", rows }];
    },
};

function entryVm(index: number): VmRecord {
    return {
        name: `entry-${String(index).padStart(2, "0")}`,
        region: "region-1",
        zone: "zone-a",
        fabricDomain: "domain-1",
        role: "entry",
        address: `10.0.0.${index}`,
        enginePort: 0,
        accelerators: 0,
        state: "live",
    };
}

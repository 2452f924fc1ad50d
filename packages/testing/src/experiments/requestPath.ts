import { StaticShare } from "@fescuehaven/router";
import { simulateQueues } from "./simulateQueues.js";
import { simulateShares } from "./simulateShares.js";

// Prints what the request path's policies come to against their baselines, in simulated time with fixed seeds.

const arrivals = [
    { name: "2 routers, even", parts: [0.5, 0.5] },
    { name: "2 routers, 80:20", parts: [0.8, 0.2] },
    { name: "2 routers, one only", parts: [1, 0] },
    { name: "53 routers, even", parts: Array.from({ length: 53 }, () => 1 / 53) },
];

for (const { name, parts } of arrivals) {
    const entryVms = parts.map((_, index) => ({
        name: `entry-${String(index).padStart(2, "0")}`,
        region: "region-1",
        zone: "zone-a",
        fabricDomain: "domain-1",
        role: "entry" as const,
        address: `10.0.0.${index}`,
        enginePort: 0,
        accelerators: 0,
        state: "live" as const,
    }));
    const vms = { version: 1, list: () => entryVms, get: () => undefined };
    const common = {
        arrivalParts: parts,
        groups: 6,
        coldLimit: 4,
        warmLimit: 32,
        callsPerSecond: 120,
        serviceMs: 1000,
        durationMs: 20_000,
    };
    const policies = {
        "static share": (index: number) =>
            StaticShare.create({ vms, zone: "zone-a", address: `10.0.0.${index}`, plannedRouters: 1 }),
        "perfect knowledge": (index: number, inFlight: (upstream: string, except: number) => number) => ({
            allowed: (upstream: string, limit: number) => Math.max(0, limit - inFlight(upstream, index)),
        }),
        "no division": () => ({ allowed: (_upstream: string, limit: number) => limit }),
    };
    for (const [policy, createShare] of Object.entries(policies)) {
        const result = await simulateShares({ ...common, createShare });
        console.log(
            `shares | ${name} | ${policy} | answered ${result.answered} | waiting at the end ${result.waiting}`
                + ` | unused while calls waited ${(result.unusedPart * 100).toFixed(1)} %`
                + ` | worst load ${(result.worstLoadPart * 100).toFixed(0)} % of what the group carried`,
        );
    }
}

for (const policy of ["fifo", "fair"] as const) {
    const results = simulateQueues({
        policy,
        accounts: [
            { name: "flood", weight: 1, callsPerSecond: 400, maxQueued: 1000 },
            { name: "small", weight: 1, callsPerSecond: 5, maxQueued: 100 },
        ],
        slots: 64,
        serviceMs: 500,
        durationMs: 30_000,
    });
    for (const [account, { answered, refused, medianWaitMs, p95WaitMs }] of results) {
        console.log(
            `queue | ${policy} | ${account} | answered ${answered} | refused ${refused}`
                + ` | wait median ${medianWaitMs} ms, 95 in 100 ${p95WaitMs} ms`,
        );
    }
}

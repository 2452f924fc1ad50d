import { SystemClock } from "@fescuehaven/runtime";
import { MemoryObjectStore, SeededRandom, untilTrue } from "@fescuehaven/testing";
import { performance } from "node:perf_hooks";
import { Gateway } from "../../src/Gateway.js";
import type { GatewayPorts } from "../../src/GatewayPorts.js";
import type { ServingConfiguration } from "../../src/model/ServingConfiguration.js";
import type { Upstream } from "../../src/model/Upstream.js";
import { exampleEngine } from "./exampleEngine.js";
import { exampleGatewaySettings } from "./exampleGatewaySettings.js";
import { exampleUpstream } from "./exampleUpstream.js";
import { freePort } from "./freePort.js";
import { noMetrics } from "./noMetrics.js";
import { SilentDecisionLog } from "./SilentDecisionLog.js";
import { SimulatedUpstreams } from "./SimulatedUpstreams.js";

interface RestoreMeasurement {
    gateways: number;
    /** From the store's return until each gateway had listed all its kinds again. */
    viewsWholeMs: number;
    /** From the store's return, when members for one more group registered, until its first order was accepted. */
    firstOrderMs: number;
    /** Share of the time until all views were whole in which this process was busy: near 1, it delays the gateways. */
    utilization: number;
    /** Calls to the store from its return until all views were whole. */
    storeCalls: Readonly<Record<string, number>>;
}

const UPSTREAM_KIND = "servers";
const CONFIGURATION_KEY = { kind: "config", name: "main" };
const KINDS_PER_GATEWAY = 5;
const ZONES = ["a", "b", "c"];
const STORE_DELAY_MS = 4;
const RETRY_MS = 20;
const AWAY_MS = 500;
const COPY_AGE_MS = 3000;
/** Peers are connected and the first group is open by then. */
const SETTLE_MS = 6000;
const TIMEOUT_MS = 30_000;

const configuration: ServingConfiguration = {
    version: 1,
    routes: [],
    services: new Map([["llm", { name: "llm", connectionLimit: 99, coldRequestsPerSecond: 0, engine: exampleEngine }]]),
    hasAccounts: false,
    accountsByKey: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** Restores the store of gateways in this process from an older copy, in real time, and measures their recovery. */
export async function measureRestore(gatewayCount: number): Promise<RestoreMeasurement> {
    const clock = SystemClock.create();
    const store = MemoryObjectStore.create(clock);
    const registered = new Map<string, Upstream>();
    /** Writes or removes a registration, and retries until the store has the current one. */
    const publish = async (id: string) => {
        const key = { kind: UPSTREAM_KIND, name: id };
        for (;;) {
            const stored = store.peek(key.kind, key.name);
            const upstream = registered.get(id);
            if (stored?.value === upstream || JSON.stringify(stored?.value) === JSON.stringify(upstream)) {
                return;
            }
            const revision = stored?.revision ?? 0;
            const outcome = await (upstream ? store.write(key, upstream, revision) : store.remove(key, revision));
            if (outcome.kind !== "committed") {
                await clock.sleep(RETRY_MS);
            }
        }
    };
    const fleet = SimulatedUpstreams.create(clock, exampleEngine, {
        set: upstream => {
            registered.set(upstream.id, upstream);
            void publish(upstream.id);
        },
        remove: id => {
            registered.delete(id);
            void publish(id);
        },
    });
    const addDomain = (domain: string) => {
        for (let index = 0; index < 8; index++) {
            fleet.add(exampleUpstream(`${domain}-${index}`, { domain, stagedModels: ["large"] }));
        }
    };
    await store.write(CONFIGURATION_KEY, {}, 0);
    let acceptedAtMs = Infinity;
    const ports: Omit<GatewayPorts, "random" | "log"> = {
        clock,
        metrics: noMetrics,
        store,
        client: { send: () => Promise.reject(new Error("no requests are sent")) },
        control: {
            fetchReport: upstream => fleet.fetchReport(upstream),
            order: async (upstream, order, expected) => {
                const outcome = await fleet.order(upstream, order, expected);
                if (upstream.domain === "second" && outcome.kind === "accepted") {
                    acceptedAtMs = Math.min(acceptedAtMs, clock.monotonicMs());
                }
                return outcome;
            },
        },
        objects: {
            configuration: { ...CONFIGURATION_KEY, decode: () => ({ kind: "decoded", value: configuration }) },
            upstreams: { kind: UPSTREAM_KIND, decode: (_, value) => ({ kind: "decoded", value: value as Upstream }) },
            evacuations: { kind: "evacuations" },
        },
    };
    const logs: SilentDecisionLog[] = [];
    const gateways: Gateway[] = [];
    for (let index = 0; index < gatewayCount; index++) {
        const log = SilentDecisionLog.create();
        const settings = { ...exampleGatewaySettings, vm: `gateway-${index}`, zone: ZONES[index % ZONES.length]! };
        const peerListen = { host: "127.0.0.1", port: await freePort() };
        const gateway = Gateway.create({ ...settings, peerListen }, {
            ...ports,
            random: SeededRandom.create(index + 1, settings.vm),
            log,
        });
        logs.push(log);
        gateways.push(gateway);
        await gateway.start();
    }
    addDomain("first");
    await clock.sleep(SETTLE_MS);
    const copy = store.copy();
    store.faults.delayMs = STORE_DELAY_MS;
    await clock.sleep(COPY_AGE_MS);
    store.faults.outage = true;
    await clock.sleep(AWAY_MS);
    store.restore(copy);
    store.faults.outage = false;
    const returnedAtMs = clock.monotonicMs();
    const utilizationBefore = performance.eventLoopUtilization();
    const callsBefore = { ...store.calls };
    [...registered.keys()].forEach(id => void publish(id));
    addDomain("second");
    const countWhole = () =>
        logs.map(log => log.lines.filter(({ event }) => event === "restored store was read again").length);
    await untilTrue(clock, "all views", TIMEOUT_MS, () => countWhole().every(count => count >= KINDS_PER_GATEWAY));
    const viewsWholeMs = Math.round(clock.monotonicMs() - returnedAtMs);
    const { utilization } = performance.eventLoopUtilization(utilizationBefore);
    const storeCalls = Object.fromEntries(
        Object.entries(store.calls).map((
            [call, count],
        ) => [call, count - callsBefore[call as keyof typeof callsBefore]]),
    );
    await untilTrue(clock, "an order", TIMEOUT_MS, () => acceptedAtMs < Infinity);
    await Promise.all(gateways.map(gateway => gateway.close()));
    return {
        gateways: gatewayCount,
        viewsWholeMs,
        firstOrderMs: Math.round(acceptedAtMs - returnedAtMs),
        utilization: Math.round(utilization * 100) / 100,
        storeCalls,
    };
}

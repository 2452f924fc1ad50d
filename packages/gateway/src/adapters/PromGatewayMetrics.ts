import { Counter, Histogram, Registry } from "prom-client";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";

/** Upper bounds of the latency buckets: around the objectives of 0.15 to 0.5 s, up to the deadlines of 8 s. */
const LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 2, 4, 8];

const counterHelp = {
    requests: "Requests by how they ended",
    refusals: "Refused requests by reason",
    rankRefusals: "Refused streams by rank, where routes or client accounts lead to more than one",
    clientRefusals: "Requests refused and connections closed because of a limit on clients, by reason",
    retries: "Sendings beyond a request's first, by reason",
    relayed: "Requests sent through another gateway because this one reached no upstream, by outcome",
    leftZone: "Requests sent to another zone because of the spillover decision, by that zone",
    groupsLost: "Serving groups found lost, by reason",
    orders: "Orders to upstreams by outcome",
    storeFailures: "Failed calls to the platform's store, by kind",
    storeEras: "Eras of the platform's store, each of which began with a restore from an older copy",
} as const;

const histogramHelp = {
    firstEvent: "Seconds until the first event of a stream",
    answer: "Seconds until the whole answer of a plain request",
    queueWait: "Seconds that a request waited for a place",
    repair: "Seconds from a lost member until its group was open again",
    repairDetection: "Seconds from the last event of a lost group until the loss was found",
    repairGivingUp: "Seconds until a lost group was given up that might have gone on",
    repairLeaving: "Seconds until the requests of a group with a leaving member had ended",
    repairChoosing: "Seconds until enough upstreams were available for a group that lacked members",
    repairJoining: "Seconds from the join orders of a repair until all members were known to be ready",
    repairOpening: "Seconds from the open order of a repair until the group was known to be open",
    restoredRead: "Seconds from a new era of the platform's store until a kind was listed again",
    eventLoopDelay: "Seconds by which a periodic task ran late",
} as const;

/** Counters and histograms in the Prometheus text format. */
export class PromGatewayMetrics implements GatewayMetrics {
    private readonly registry = new Registry();
    private readonly counters = mapValues(counterHelp, (name, help) =>
        new Counter({
            name: `fescue_${snakeCase(name)}_total`,
            help,
            labelNames: ["reason"],
            registers: [this.registry],
        }));
    private readonly histograms = mapValues(histogramHelp, (name, help) =>
        new Histogram({
            name: `fescue_${snakeCase(name)}_seconds`,
            help,
            buckets: LATENCY_BUCKETS_S,
            registers: [this.registry],
        }));

    private constructor() {}

    /** Creates the registry. */
    static create(): PromGatewayMetrics {
        return new PromGatewayMetrics();
    }

    /** Increments a counter for a reason. */
    count(name: keyof typeof counterHelp, reason: string): void {
        this.counters[name].inc({ reason });
    }

    /** Adds a duration to a histogram. */
    observe(name: keyof typeof histogramHelp, durationMs: number): void {
        this.histograms[name].observe(durationMs / 1000);
    }

    /** Returns all metrics as text. */
    render(): Promise<string> {
        return this.registry.metrics();
    }
}

function mapValues<K extends string, V>(
    source: Readonly<Record<K, string>>,
    make: (name: K, help: string) => V,
): Record<K, V> {
    const entries = (Object.entries(source) as Array<[K, string]>).map(([name, help]) => [name, make(name, help)]);
    return Object.fromEntries(entries) as Record<K, V>;
}

function snakeCase(name: string): string {
    return name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

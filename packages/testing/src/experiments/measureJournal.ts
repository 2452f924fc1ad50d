import { Journal, type JournalClaim, journalSettingsSchema, type Peer } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import { type Clock, SystemClock } from "@fescuehaven/runtime";
import { MemoryNetwork } from "../fakes/MemoryNetwork.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import { SilentLogger } from "../fakes/SilentLogger.js";
import { SilentMetrics } from "../fakes/SilentMetrics.js";
import type { JournalMeasurement } from "./JournalMeasurement.js";
import { RateLimitedStore } from "./RateLimitedStore.js";

const ROUTER_COUNT = 6;
const STORE_LATENCY_MS = 4;
const STORE_WRITES_PER_SECOND = 400;
const LINK_DELAY_MS = 1;
const RUN_MS = 4000;
/** Time between a claim and the response of the service. */
const SERVICE_MS = 20;
const RESPONSE = { status: 200, contentType: "application/json", body: new Uint8Array(Buffer.alloc(300, "x")) };

/** Runs one keyed call at a router; resolves to undefined if the claim was refused. */
type KeyedCall = (router: number, key: string) => Promise<{ claimMs: number; finishMs: number; } | undefined>;

/** A way of storing the records of keys. */
interface Policy {
    name: string;
    create: (store: ObjectStore, clock: Clock) => KeyedCall;
}

const policies: readonly Policy[] = [
    { name: "object a key", create: createObjectPerKeyCall },
    { name: "1 shard", create: (store, clock) => createJournalCall(store, clock, 1) },
    { name: "8 shards", create: (store, clock) => createJournalCall(store, clock, 8) },
];

/**
 * Compares journal shards written by group commit with one object for each key: platform writes and added latency at
 * several rates of keyed calls, with an in-memory store that limits the rate of writes.
 */
export async function measureJournal(callsPerSecond: readonly number[]): Promise<JournalMeasurement[]> {
    const results = [];
    for (const rate of callsPerSecond) {
        for (const policy of policies) {
            results.push(await measure(policy, rate));
        }
    }
    return results;
}

async function measure(policy: Policy, rate: number): Promise<JournalMeasurement> {
    const clock = SystemClock.create();
    const options = { clock, latencyMs: STORE_LATENCY_MS, writesPerSecond: STORE_WRITES_PER_SECOND };
    const store = RateLimitedStore.create(options);
    const call = policy.create(store, clock);
    const startMs = clock.monotonicMs();
    const calls = [];
    const total = Math.round(rate * RUN_MS / 1000);
    for (let index = 0; index < total; index++) {
        const dueMs = startMs + index * 1000 / rate;
        if (dueMs > clock.monotonicMs()) {
            await clock.sleep(dueMs - clock.monotonicMs());
        }
        calls.push(call(index % ROUTER_COUNT, `key-${index}`));
    }
    const outcomes = await Promise.all(calls);
    const elapsedMs = clock.monotonicMs() - startMs;
    const served = outcomes.filter(outcome => outcome !== undefined);
    const claims = served.map(outcome => outcome.claimMs).sort((a, b) => a - b);
    const finishes = served.map(outcome => outcome.finishMs).sort((a, b) => a - b);
    return {
        policy: policy.name,
        callsPerSecond: rate,
        served: served.length,
        refused: total - served.length,
        writesPerSecond: store.calls.write * 1000 / elapsedMs,
        writesPerCall: store.calls.write / total,
        claimMs: { p50: quantile(claims, 0.5), p99: quantile(claims, 0.99) },
        finishMs: { p50: quantile(finishes, 0.5), p99: quantile(finishes, 0.99) },
    };
}

function createObjectPerKeyCall(store: ObjectStore, clock: Clock): KeyedCall {
    return async (_router, name) => {
        const startMs = clock.monotonicMs();
        const claimed = await store.write({ kind: "journal-key", name }, { state: "claimed" }, 0, "journal");
        if (claimed.kind !== "committed") {
            return undefined;
        }
        const claimMs = clock.monotonicMs() - startMs;
        await clock.sleep(SERVICE_MS);
        const respondedAtMs = clock.monotonicMs();
        const body = Buffer.from(RESPONSE.body).toString("base64");
        const value = { state: "finished", answer: { ...RESPONSE, body } };
        await store.write({ kind: "journal-key", name }, value, claimed.revision, "journal");
        return { claimMs, finishMs: clock.monotonicMs() - respondedAtMs };
    };
}

function createJournalCall(store: ObjectStore, clock: Clock, shardCount: number): KeyedCall {
    const network = MemoryNetwork.create(clock);
    network.delayMs = LINK_DELAY_MS;
    const peers = Array.from({ length: ROUTER_COUNT }, (_, index): Peer => {
        const name = `router-${index}`;
        return { name, zone: "zone-a", role: "router", url: `http://${name}` };
    });
    const journals = peers.map((self, index) => {
        const journal = Journal.create({
            process: self.name,
            settings: journalSettingsSchema.parse({ shardCount }),
            store,
            peers: { list: () => peers.filter(peer => peer !== self) },
            clients: network.clientsOf(self.name),
            clock,
            random: SeededRandom.create(index, self.name),
            logger: SilentLogger.create(),
            metrics: SilentMetrics.create(),
        });
        network.listen(self.name, router => journal.registerOn(router));
        return journal;
    });
    const issuedAt = clock.now();
    return async (router, key) => {
        const claim: JournalClaim = {
            clientAccount: "account",
            route: "booking",
            idempotencyKey: key,
            claimant: `claimant-${key}`,
            requestDigest: "0".repeat(64),
            issuedAt,
        };
        const startMs = clock.monotonicMs();
        const claimed = await journals[router]!.claim(claim, new AbortController().signal);
        if (claimed.kind !== "claimed") {
            return undefined;
        }
        const claimMs = clock.monotonicMs() - startMs;
        await clock.sleep(SERVICE_MS);
        const respondedAtMs = clock.monotonicMs();
        await journals[router]!.finish(claim, RESPONSE);
        return { claimMs, finishMs: clock.monotonicMs() - respondedAtMs };
    };
}

function quantile(sorted: readonly number[], fraction: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN;
}

import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { Gateway } from "../../src/Gateway.js";
import type { GatewaySettings } from "../../src/GatewaySettings.js";
import type { Route } from "../../src/model/Route.js";
import type { ServingConfiguration } from "../../src/model/ServingConfiguration.js";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamClient } from "../../src/ports/UpstreamClient.js";
import type { UpstreamControl } from "../../src/ports/UpstreamControl.js";
import type { UpstreamRequest } from "../../src/ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleEngine } from "./exampleEngine.js";
import { exampleGatewaySettings } from "./exampleGatewaySettings.js";
import { freePort } from "./freePort.js";
import { noMetrics } from "./noMetrics.js";
import { RecordedResponse } from "./RecordedResponse.js";
import { SilentDecisionLog } from "./SilentDecisionLog.js";
import { SimulatedUpstreams } from "./SimulatedUpstreams.js";

interface Registration {
    upstream: Upstream;
    /** Incremented by every registration of the upstream. */
    sequence: number;
}

const UPSTREAM_KIND = "servers";
const CONFIGURATION_KEY = { kind: "config", name: "main" };
const EVACUATION_KIND = "evacuations";
const EVENT_PAUSE_MS = 100;
const RETRY_MS = 100;
const RELAY_PORT = 1;
/** Time until a connection that is not accepted, or a request without a response, is given up. */
const UNREACHABLE_AFTER_MS = 250;

/** A whole gateway, of which only store, upstreams and callers are simulated. */
export class GatewayRig {
    readonly clock = ManualClock.create();
    readonly store = MemoryObjectStore.create(this.clock);
    readonly log = SilentDecisionLog.create();
    readonly fleet: SimulatedUpstreams;
    /** Ids of the upstreams to which requests were sent, in order. */
    readonly sentTo: string[] = [];
    /** VMs whose gateways are partitioned from all upstreams. */
    readonly partitioned = new Set<string>();
    readonly gateway: Gateway;
    private readonly peerPort: number;
    private readonly peers: Gateway[] = [];
    /** Gateways by the address at which they relay requests. */
    private readonly relays = new Map<string, Gateway>();
    private readonly registrations = new Map<string, Registration>();
    private requests = 0;

    private constructor(peerPort: number) {
        this.peerPort = peerPort;
        this.fleet = SimulatedUpstreams.create(this.clock, exampleEngine, {
            set: upstream => this.register(upstream),
            remove: id => this.unregister(id),
        });
        this.gateway = this.createGateway({
            ...exampleGatewaySettings,
            peerListen: { host: "127.0.0.1", port: peerPort },
        });
    }

    /** Starts a gateway with a configuration and without upstreams. */
    static async start(): Promise<GatewayRig> {
        const rig = new GatewayRig(await freePort());
        await rig.configure(1);
        await rig.gateway.start();
        await rig.clock.advance(100);
        return rig;
    }

    /**
     * Creates a further gateway, which knows the first one as a seed by default; it has to be started. Other gateways can
     * connect to it if it has a port.
     */
    addPeer(vm: string, seedPeers = [`127.0.0.1:${this.peerPort}`], port = 0): Gateway {
        const peerListen = { host: "127.0.0.1", port };
        const relayListen = { host: vm, port: RELAY_PORT };
        const peer = this.createGateway({ ...exampleGatewaySettings, vm, seedPeers, peerListen, relayListen });
        this.peers.push(peer);
        this.relays.set(`${vm}:${RELAY_PORT}`, peer);
        return peer;
    }

    /** Writes the operator's configuration. Its only prefixes are `/llm/`, `/app/` and the one of its version. */
    async configure(version: number): Promise<void> {
        await this.write(CONFIGURATION_KEY, { version });
    }

    /** Evacuates a zone, or ends its evacuation. */
    async evacuate(zone: string, isEvacuated: boolean): Promise<void> {
        await this.write({ kind: EVACUATION_KIND, name: zone }, isEvacuated ? {} : undefined);
    }

    /** Adds or replaces a registration. */
    register(upstream: Upstream): void {
        const { sequence = 0 } = this.registrations.get(upstream.id) ?? {};
        this.registrations.set(upstream.id, { upstream, sequence: sequence + 1 });
        void this.writeRegistration(upstream.id);
    }

    /** Removes a registration. */
    unregister(id: string): void {
        this.registrations.delete(id);
        void this.writeRegistration(id);
    }

    /** Makes the store unavailable for `awayMs`; then it comes back from the copy. */
    async restore(copy: ReturnType<MemoryObjectStore["copy"]>, awayMs: number): Promise<void> {
        this.store.faults.outage = true;
        await this.clock.advance(awayMs);
        this.store.restore(copy);
        this.store.faults.outage = false;
    }

    /** Writes all registrations again, as upstreams do after a store outage. */
    async registerAgain(): Promise<void> {
        const listed = await this.store.list([UPSTREAM_KIND]);
        const stored = listed.kind === "listed" ? listed.objects.map(object => object.name) : [];
        for (const id of new Set([...stored, ...this.registrations.keys()])) {
            await this.writeRegistration(id);
        }
    }

    /** Sends a request below a path prefix to a gateway. */
    send(
        prefix: "llm" | "app" | `v${number}`,
        changes: { model?: string; } = {},
        gateway = this.gateway,
    ): RecordedResponse {
        const response = RecordedResponse.create();
        this.requests += 1;
        gateway.handle({
            id: `request-${this.requests}`,
            method: "POST",
            target: `/${prefix}/`,
            host: "h.test",
            headers: [],
            callerTimeoutMs: 8000,
            receivedAtMs: this.clock.monotonicMs(),
            model: "large",
            sharedPromptParts: [],
            promptTokens: 1000,
            maxAnswerTokens: 100,
            ...changes,
        }, response);
        return response;
    }

    /** Stops all gateways. */
    async close(): Promise<void> {
        await Promise.all([this.gateway, ...this.peers].map(gateway => gateway.close()));
    }

    private createGateway(gatewaySettings: GatewaySettings): Gateway {
        const { clock, log, store } = this;
        return Gateway.create(gatewaySettings, {
            clock,
            random: SeededRandom.create(1, gatewaySettings.vm),
            log,
            metrics: noMetrics,
            store,
            client: this.createClient(gatewaySettings.vm),
            control: this.createControl(gatewaySettings.vm),
            objects: {
                configuration: {
                    ...CONFIGURATION_KEY,
                    decode: value => ({ kind: "decoded", value: toConfiguration(value) }),
                },
                upstreams: {
                    kind: UPSTREAM_KIND,
                    decode: (_, value) => ({ kind: "decoded", value: toUpstream(value) }),
                },
                evacuations: { kind: EVACUATION_KIND },
            },
        });
    }

    private async writeRegistration(id: string): Promise<void> {
        await this.write({ kind: UPSTREAM_KIND, name: id }, this.registrations.get(id));
    }

    /** Writes or removes an object, and retries until the store accepts that. */
    private async write(key: { kind: string; name: string; }, value: unknown): Promise<void> {
        for (;;) {
            const stored = this.store.peek(key.kind, key.name);
            if (JSON.stringify(stored?.value) === JSON.stringify(value)) {
                return;
            }
            const revision = stored?.revision ?? 0;
            const outcome = value === undefined
                ? await this.store.remove(key, revision)
                : await this.store.write(key, value, revision);
            if (outcome.kind === "committed") {
                return;
            }
            await this.clock.sleep(RETRY_MS);
        }
    }

    /** Creates a client whose upstreams send 30 events, one every `EVENT_PAUSE_MS`, or one complete response. */
    private createClient(vm: string): UpstreamClient {
        return {
            send: async (upstream, call, signal): Promise<UpstreamResponse> => {
                const relay = this.relays.get(upstream.address);
                if (relay) {
                    return relay.sendForPeer(upstream.id, call, signal);
                }
                if (this.partitioned.has(vm)) {
                    await this.clock.sleep(UNREACHABLE_AFTER_MS);
                    return { kind: "not-run", reason: "not-connected" };
                }
                this.sentTo.push(upstream.id);
                return {
                    kind: "answered",
                    head: { status: 200, headers: [] },
                    isSigned: true,
                    body: this.events(upstream, call, signal),
                };
            },
        };
    }

    private createControl(vm: string): UpstreamControl {
        const { clock, fleet, partitioned } = this;
        return {
            fetchReport: async upstream => {
                if (partitioned.has(vm)) {
                    await clock.sleep(UNREACHABLE_AFTER_MS);
                    return { kind: "unreachable", reason: "no answer", isRefused: false };
                }
                return fleet.fetchReport(upstream);
            },
            order: async (upstream, order, expectedOrderCount) => {
                if (partitioned.has(vm)) {
                    await clock.sleep(UNREACHABLE_AFTER_MS);
                    return { kind: "unknown", reason: "no answer" };
                }
                return fleet.order(upstream, order, expectedOrderCount);
            },
        };
    }

    private async *events(upstream: Upstream, call: UpstreamRequest, signal: AbortSignal): AsyncGenerator<Buffer> {
        const first = Number(call.resumeAfter ?? 0) + 1;
        for (let id = first; id <= 30; id++) {
            await this.clock.sleep(EVENT_PAUSE_MS, signal);
            signal.throwIfAborted();
            yield Buffer.from(`id: ${id}\ndata: ${upstream.id}\n\n`);
        }
    }
}

function toConfiguration(value: unknown): ServingConfiguration {
    const { version } = value as { version: number; };
    const route = (prefix: string, kind: Route["kind"], service: string): Route => ({
        name: prefix,
        host: "h.test",
        pathPrefix: `/${prefix}/`,
        kind,
        timeoutMs: 8000,
        targetLatencyMs: 400,
        targetGapMs: 250,
        priority: 1,
        targets: [{ service, weight: 1 }],
        maxAttempts: 2,
        isPublic: true,
        isResumable: false,
    });
    return {
        version,
        routes: [route("llm", "stream", "llm"), route("app", "once", "app"), route(`v${version}`, "once", "app")],
        services: new Map([
            ["llm", { name: "llm", connectionLimit: 99, coldRequestsPerSecond: 0, engine: exampleEngine }],
            ["app", { name: "app", connectionLimit: 99, coldRequestsPerSecond: 0 }],
        ]),
        hasAccounts: false,
        accountsByKey: new Map(),
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
}

function toUpstream(value: unknown): Upstream {
    const { upstream, sequence } = value as Registration;
    return { ...upstream, registrationNumber: sequence };
}

import type { Peer } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import { ManualClock, MemoryEventRecorder, SeededRandom, SilentLogger, SilentMetrics } from "@fescuehaven/testing";
import type { LightMyRequestResponse } from "fastify";
import { createHash } from "node:crypto";
import {
    createRouter,
    HttpEngineClient,
    type RouterSettings,
    routerSettingsSchema,
    StaticShare,
} from "../../src/index.js";
import type { ZoneForwarder } from "../../src/ports/ZoneForwarder.js";
import { MemoryConfiguration } from "./MemoryConfiguration.js";
import { MemoryEvidence } from "./MemoryEvidence.js";
import { MemoryKeyJournal } from "./MemoryKeyJournal.js";
import { ScriptedService } from "./ScriptedService.js";

interface FixtureOptions {
    clock?: ManualClock;
    zone?: string;
    name?: string;
    settings?: Partial<RouterSettings>;
    forwarder?: ZoneForwarder;
    peers?: Peer[];
}

interface GroupOptions {
    url: string;
    zone?: string;
    modelVersion?: string;
    epoch?: number;
    bootIds?: string[];
    warm?: number;
    cold?: number;
}

const noForwarder: ZoneForwarder = {
    async *generate() {
        yield { kind: "broken", reason: "no-peer", sent: false };
    },
    callService: async () => ({ kind: "did-not-run", reason: "no-peer" }),
    abandon: () => {},
};

/** A router with fakes as its ports, a chat route, two routes of a plain service, and two client accounts. */
export class RouterFixture {
    readonly configuration = MemoryConfiguration.create();
    readonly events = MemoryEventRecorder.create();
    readonly journal = MemoryKeyJournal.create();
    readonly service = ScriptedService.create();
    readonly engineClient = HttpEngineClient.create({ connectTimeoutMs: 1000 });
    readonly vms: VmRecord[] = [];
    readonly peers: Peer[];
    readonly evidence: MemoryEvidence;
    readonly router: ReturnType<typeof createRouter>;
    readonly stopping = new AbortController();

    private constructor(readonly clock: ManualClock, options: FixtureOptions) {
        const zone = options.zone ?? "zone-a";
        const name = options.name ?? "router-a1";
        this.peers = options.peers ?? [];
        this.evidence = MemoryEvidence.create(clock);
        const vms = {
            version: 1,
            list: () => this.vms,
            get: (vm: string) => this.vms.find(record => record.name === vm),
        };
        this.router = createRouter({
            settings: routerSettingsSchema.parse({
                process: name,
                region: "region-1",
                zone,
                peerListen: { host: "127.0.0.1", port: 1 },
                listen: { host: "127.0.0.1", port: 1 },
                peers: [],
                platform: { url: "http://127.0.0.1:1" },
                plannedRouters: 1,
                ...options.settings,
            }),
            clock,
            random: SeededRandom.create(7, name),
            events: this.events,
            logger: SilentLogger.create(),
            metrics: SilentMetrics.create(),
            configuration: this.configuration,
            evidence: this.evidence,
            vms,
            peers: { list: () => this.peers },
            share: StaticShare.create({
                vms,
                zone,
                address: "127.0.0.1",
                plannedRouters: options.settings?.plannedRouters ?? 1,
            }),
            engines: this.engineClient,
            services: this.service,
            forwarder: options.forwarder ?? noForwarder,
            journal: this.journal,
        });
        void this.router.run(this.stopping.signal);
        this.addObjects();
    }

    static create(options: FixtureOptions = {}): RouterFixture {
        return new RouterFixture(options.clock ?? ManualClock.create(), options);
    }

    /** Adds a ready group of two members whose head has this URL. */
    addGroup(group: string, options: GroupOptions): void {
        const { zone = "zone-a", modelVersion = "v1", epoch = 1, warm = 8, cold = 8 } = options;
        const members = [`${group}-0`, `${group}-1`];
        this.configuration.put("serving-group", group, {
            zone,
            modelVersion,
            memberCount: 2,
            maxConcurrentRequests: warm,
            coldConcurrentRequests: cold,
        });
        const ledger = this.configuration.get("zone-ledger", zone)?.value;
        this.configuration.put("zone-ledger", zone, {
            nonce: "n",
            leaseFence: 1,
            lastEpoch: epoch,
            claims: {
                ...ledger?.claims,
                ...Object.fromEntries(members.map((vm, rank) => [vm, { group, epoch, rank, state: "held" as const }])),
            },
            groups: { ...ledger?.groups, [group]: { epoch, modelVersion, fabricDomain: "d1", members } },
        });
        this.evidence.set({
            group,
            epoch,
            modelVersion,
            headVm: `${group}-0`,
            headUrl: options.url,
            bootIds: options.bootIds ?? ["b0", "b1"],
            reportedLoad: 0,
            freshUntilMs: Infinity,
        });
    }

    /** Sends a chat call. */
    async chat(
        body: Record<string, unknown> = {},
        headers: Record<string, string> = {},
    ): Promise<LightMyRequestResponse> {
        return this.router.server.http.inject({
            method: "POST",
            url: "/v1/chat/completions",
            headers: { "authorization": "Bearer key-small", "content-type": "application/json", ...headers },
            payload: { model: "m", messages: [{ role: "user", content: "hello" }], max_tokens: 5, ...body },
        });
    }

    /** Sends a plain service call. */
    async callService(
        route: string,
        headers: Record<string, string> = {},
        payload = "{}",
    ): Promise<LightMyRequestResponse> {
        return this.router.server.http.inject({
            method: "POST",
            url: `/v1/services/${route}`,
            headers: { "authorization": "Bearer key-small", "content-type": "application/json", ...headers },
            payload,
        });
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.router.server.close();
        await this.engineClient.close();
    }

    private addObjects(): void {
        this.configuration.put("route", "chat", {
            target: { kind: "model", model: "m", versions: [{ modelVersion: "v1", weight: 1 }] },
            timeoutMs: 60_000,
        });
        for (const [name, repeatable] of [["quote", true], ["booking", false]] as const) {
            this.configuration.put("route", name, {
                target: { kind: "service", service: "dispatch", path: "/run", repeatable },
                timeoutMs: 10_000,
            });
        }
        this.configuration.put("service", "dispatch", {
            endpoints: ["one", "two"].map(name => ({
                name,
                zone: "zone-a",
                url: `http://${name}.invalid`,
                maxConcurrentRequests: 8,
                coldConcurrentRequests: 8,
            })),
        });
        for (const [name, weight] of [["small", 1], ["large", 3]] as const) {
            this.configuration.put("client-account", name, {
                apiKeySha256: createHash("sha256").update(`key-${name}`).digest("hex"),
                weight,
                maxConcurrentRequests: 100,
                maxQueuedRequests: 100,
                priority: 5,
            });
        }
    }
}

/** The prompt of `chat()` calls. */
export const helloPrompt = "user: hello\n";

import type { ObjectKey, ReadOutcome, UpdateOutcome, WatchOutcome } from "@fescuehaven/platform";
import { type Clock, describeSchemaErrors } from "@fescuehaven/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { createHash } from "node:crypto";
import type { AddressInfo } from "node:net";
import { MemoryObjectStore } from "../fakes/MemoryObjectStore.js";
import { createStandinServer } from "./createStandinServer.js";
import { LaggingVmList } from "./LaggingVmList.js";
import { platformFaultsSchema } from "./PlatformFaults.js";
import type { PlatformSettings } from "./PlatformSettings.js";
import { RateLimit } from "./RateLimit.js";

/** Largest size of an object's value as JSON. */
const MAX_VALUE_BYTES = 1_000_000;

/** Longest wait of one watch. */
const MAX_WATCH_MS = 60_000;

interface ObjectRequest {
    Params: ObjectKey;
    Headers: { "if-match"?: string; };
}

interface KindsRequest {
    Querystring: { kinds?: string; after?: string; waitMs?: string; };
}

/** A stand-in of the platform: serves its object API and VM list over HTTP from memory, with switchable faults. */
export class StandinPlatform {
    private readonly server: FastifyInstance = createStandinServer();
    private readonly store: MemoryObjectStore;
    private copy: ReturnType<MemoryObjectStore["copy"]> | undefined;
    private readonly vms: LaggingVmList;
    private readonly writes: RateLimit;
    private readonly reads: RateLimit;
    private readonly blocked = new Set<string>();
    private readonly counters = { reads: 0, writes: 0, watches: 0, vmLists: 0, limited: 0, blocked: 0 };
    private readonly callsByAddress = new Map<string, number>();
    private readonly closing = new AbortController();

    private constructor(private readonly settings: PlatformSettings, clock: Clock) {
        this.store = MemoryObjectStore.create(clock);
        this.vms = LaggingVmList.create(clock, settings.vmListLagMs, settings.vms);
        this.writes = RateLimit.create(clock, settings.writesPerSecond);
        this.reads = RateLimit.create(clock, settings.readsPerSecond);
        this.addRoutes();
    }

    /** Creates the stand-in; it accepts connections once `listen` is called. */
    static create(options: { settings: PlatformSettings; clock: Clock; }): StandinPlatform {
        return new StandinPlatform(options.settings, options.clock);
    }

    /** Starts listening and returns the base URL. */
    async listen(): Promise<string> {
        const { host, port } = this.settings.listen;
        await this.server.listen({ host, port });
        return `http://${host}:${(this.server.server.address() as AddressInfo).port}`;
    }

    /** Stops listening and closes open connections. */
    async close(): Promise<void> {
        this.closing.abort();
        await this.server.close();
    }

    private addRoutes(): void {
        this.server.addHook("onRequest", async (request, reply) => this.blockOrRefuse(request, reply));
        this.server.addHook("onSend", async (request, reply) => {
            await this.withholdFromBlocked(request);
            reply.header("store-era", this.store.era);
        });
        this.server.get<ObjectRequest>(
            "/v1/objects/:kind/:name",
            async (request, reply) => sendRead(reply, await this.store.read(request.params)),
        );
        this.server.get<KindsRequest>("/v1/objects", async (request, reply) => this.list(request, reply));
        this.server.put<ObjectRequest>("/v1/objects/:kind/:name", async (request, reply) => this.put(request, reply));
        this.server.delete<ObjectRequest>(
            "/v1/objects/:kind/:name",
            async (request, reply) =>
                sendUpdate(reply, await this.store.remove(request.params, expectedRevision(request))),
        );
        this.server.get<KindsRequest>("/v1/watch", async (request, reply) => this.watch(request, reply));
        this.server.get("/v1/vms", async (request, reply) => {
            this.counters.vmLists += 1;
            const body = JSON.stringify({ vms: this.vms.read() });
            const etag = `"${createHash("sha256").update(body).digest("base64url")}"`;
            reply.header("etag", etag);
            if (request.headers["if-none-match"] === etag) {
                return reply.code(304).send();
            }
            return reply.type("application/json").send(body);
        });
        this.server.post("/test/faults", async (request, reply) => this.setFaults(request, reply));
        this.server.post("/test/copy", async () => {
            this.copy = this.store.copy();
            return { ok: true };
        });
        this.server.post("/test/restore", async (_request, reply) => {
            if (!this.copy) {
                return reply.code(409).send({ ok: false });
            }
            this.store.restore(this.copy);
            return { ok: true };
        });
        this.server.get("/test/counters", async () => ({
            ...this.counters,
            byMethod: this.store.calls,
            byAddress: Object.fromEntries(this.callsByAddress),
        }));
    }

    /** Withholds the response from a blocked caller; refuses calls over the rate limit and during an outage. */
    private async blockOrRefuse(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        if (!request.url.startsWith("/v1/")) {
            return;
        }
        this.callsByAddress.set(request.ip, (this.callsByAddress.get(request.ip) ?? 0) + 1);
        if (this.blocked.has(request.ip)) {
            this.counters.blocked += 1;
            reply.hijack();
            return;
        }
        const isWrite = request.method === "PUT" || request.method === "DELETE";
        this.counters[isWrite ? "writes" : "reads"] += 1;
        const retryAfterMs = (isWrite ? this.writes : this.reads).take();
        if (retryAfterMs > 0) {
            this.counters.limited += 1;
            await reply.code(429).send({ retryAfterMs });
            return;
        }
        if (this.store.faults.outage) {
            await reply.code(503).send({ retryAfterMs: 200 });
        }
    }

    /** Never sends the response of a call whose caller was blocked while the call was handled. */
    private async withholdFromBlocked(request: FastifyRequest): Promise<void> {
        if (request.url.startsWith("/v1/") && this.blocked.has(request.ip)) {
            await new Promise<never>(() => {});
        }
    }

    private async list(request: FastifyRequest<KindsRequest>, reply: FastifyReply): Promise<void> {
        const outcome = await this.store.list(kindsOf(request));
        if (outcome.kind === "unavailable") {
            await reply.code(503).send({ retryAfterMs: outcome.retryAfterMs });
            return;
        }
        await reply.send({ objects: outcome.objects, revision: outcome.revision });
    }

    private async put(request: FastifyRequest<ObjectRequest>, reply: FastifyReply): Promise<void> {
        const body = request.body as { value?: unknown; } | undefined;
        if (body?.value === undefined) {
            await reply.code(422).send({ reason: "the body has no value" });
            return;
        }
        if (Buffer.byteLength(JSON.stringify(body.value)) > MAX_VALUE_BYTES) {
            await reply.code(413).send({ reason: `the value is over ${MAX_VALUE_BYTES} bytes` });
            return;
        }
        sendUpdate(reply, await this.store.write(request.params, body.value, expectedRevision(request)));
    }

    private async watch(request: FastifyRequest<KindsRequest>, reply: FastifyReply): Promise<void> {
        this.counters.watches += 1;
        const disconnected = new AbortController();
        request.raw.socket.once("close", () => disconnected.abort());
        const waitMs = Math.min(Number(request.query.waitMs ?? 0), MAX_WATCH_MS);
        const signal = AbortSignal.any([disconnected.signal, this.closing.signal]);
        const outcome = await this.store.watch(kindsOf(request), Number(request.query.after ?? 0), waitMs, signal);
        if (signal.aborted || this.store.faults.silentWatches) {
            reply.hijack();
            return;
        }
        sendWatch(reply, outcome);
    }

    private async setFaults(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const parsed = platformFaultsSchema.safeParse(request.body);
        if (!parsed.success) {
            await reply.code(400).send({ faults: describeSchemaErrors(parsed.error) });
            return;
        }
        const { blockedAddresses, vms, ...storeFaults } = parsed.data;
        Object.assign(this.store.faults, storeFaults);
        if (blockedAddresses) {
            this.blocked.clear();
            blockedAddresses.forEach(address => this.blocked.add(address));
        }
        if (vms) {
            this.vms.replace(vms);
        }
        await reply.send({ ok: true });
    }
}

function kindsOf(request: FastifyRequest<KindsRequest>): string[] {
    return (request.query.kinds ?? "").split(",").filter(kind => kind.length > 0);
}

function expectedRevision(request: FastifyRequest<ObjectRequest>): number {
    return Number(request.headers["if-match"] ?? Number.NaN);
}

function sendRead(reply: FastifyReply, outcome: ReadOutcome): void {
    const senders = {
        found: () => reply.send(outcome.kind === "found" ? outcome.object : undefined),
        absent: () => reply.code(404).send({}),
        unavailable: () => reply.code(503).send({ retryAfterMs: 200 }),
    };
    senders[outcome.kind]();
}

function sendUpdate(reply: FastifyReply, outcome: UpdateOutcome): void {
    switch (outcome.kind) {
        case "committed":
            reply.send({ revision: outcome.revision });
            return;
        case "conflict":
            reply.code(409).send({ current: outcome.current });
            return;
        case "invalid":
            reply.code(422).send({ reason: outcome.reason });
            return;
        case "unavailable":
            reply.code(503).send({ retryAfterMs: outcome.retryAfterMs });
            return;
        case "unknown":
            reply.hijack();
            reply.raw.socket?.destroy();
    }
}

function sendWatch(reply: FastifyReply, outcome: WatchOutcome): void {
    switch (outcome.kind) {
        case "changed":
            reply.send({ changes: outcome.changes, revision: outcome.revision });
            return;
        case "compacted":
            reply.code(410).send({});
            return;
        case "unavailable":
            reply.code(503).send({ retryAfterMs: outcome.retryAfterMs });
    }
}

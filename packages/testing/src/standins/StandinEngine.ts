import type { MemberReport } from "@fescuehaven/coordination";
import { type Clock, describeSchemaErrors, type Random } from "@fescuehaven/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { AddressInfo } from "node:net";
import { CapacityRamp } from "./CapacityRamp.js";
import { ContinuousBatch } from "./ContinuousBatch.js";
import { createStandinServer } from "./createStandinServer.js";
import type { EngineBehaviour } from "./EngineBehaviour.js";
import { type EngineFaults, engineFaultsSchema } from "./EngineFaults.js";
import { engineOrderSchema } from "./engineOrderSchema.js";
import { EngineRole } from "./EngineRole.js";
import { type GenerateRequest, generateRequestSchema } from "./GenerateRequest.js";
import { LaggingLoad } from "./LaggingLoad.js";
import { MemberCheck } from "./MemberCheck.js";
import { PrefixCache } from "./PrefixCache.js";
import { TokenStream } from "./TokenStream.js";
import type { WeightStore } from "./WeightStore.js";

/** When a refused caller may come back, ms. */
const RETRY_AFTER_MS = 100;

/** Part of the prefill time that a cached prefix leaves. */
const CACHED_PREFILL_PART = 0.2;

/** What a stand-in engine is made of. */
interface StandinEngineOptions {
    vm: { name: string; host: string; port: number; };
    behaviour: EngineBehaviour;
    weights: WeightStore;
    clock: Clock;
    /** Repeatable variation. */
    random: Random;
    /** Unique boot ids. */
    identities: Random;
}

/** A stand-in of the model engine of one VM. */
export class StandinEngine {
    private readonly server: FastifyInstance = createStandinServer();
    private readonly behaviour: EngineBehaviour;
    private readonly load: LaggingLoad;
    private readonly cache: PrefixCache;
    private readonly ramp: CapacityRamp;
    private readonly batch: ContinuousBatch;
    private readonly members: MemberCheck;
    private readonly faults = {
        ignoreFencing: false,
        silent: false,
        slowFactor: 1,
        reportLagMs: 0,
        refuseAll: false,
        breakAfterTokens: undefined as number | undefined,
        duplicateTokens: false,
        crossAnswers: false,
    };
    private readonly counters = {
        generateCalls: 0,
        wrongEpoch: 0,
        memberMissing: 0,
        notReady: 0,
        refused: 0,
        loads: 0,
        refences: 0,
        staleOrders: 0,
        unloads: 0,
        restarts: 0,
    };
    private role: EngineRole;
    private bootId: string;
    private loading = new AbortController();
    private isDown = false;

    private constructor(private readonly options: StandinEngineOptions) {
        const { clock, random, behaviour, vm } = options;
        this.behaviour = behaviour;
        this.role = EngineRole.create(behaviour.keepsWeights);
        this.faults.ignoreFencing = !behaviour.obeyFencing;
        this.faults.reportLagMs = behaviour.reportLagMs;
        this.bootId = options.identities.uniqueId();
        this.load = LaggingLoad.create(clock);
        this.ramp = CapacityRamp.create(clock, behaviour);
        this.cache = PrefixCache.create({
            clock,
            random,
            entries: behaviour.prefixCacheEntries,
            eventLagMs: behaviour.cacheEventLagMs,
            eventLoss: behaviour.cacheEventLoss,
        });
        this.batch = ContinuousBatch.create({
            clock,
            random,
            behaviour,
            ramp: this.ramp,
            faults: this.faults,
            onChange: (running, waiting) => this.load.note(running, waiting),
            onFall: () => void this.fallOver(),
        });
        this.members = MemberCheck.create({
            clock,
            intervalMs: behaviour.memberCheckMs,
            timeoutMs: behaviour.memberTimeoutMs,
            localAddress: vm.host,
            onChange: bootIds => this.onMembersChanged(bootIds),
        });
        this.addRoutes();
    }

    /** Creates an empty engine; it serves once `listen` is called. */
    static create(options: StandinEngineOptions): StandinEngine {
        return new StandinEngine(options);
    }

    /** Starts to serve; gives the base URL. */
    async listen(): Promise<string> {
        const { host, port } = this.options.vm;
        await this.server.listen({ host, port });
        return `http://${host}:${(this.server.server.address() as AddressInfo).port}`;
    }

    /** Stops and breaks open connections. */
    async close(): Promise<void> {
        this.loading.abort();
        this.batch.breakAll();
        await this.members.close();
        await this.server.close();
    }

    private addRoutes(): void {
        this.server.addHook("onRequest", async (request, reply) => this.screen(request, reply));
        this.server.get("/v1/report", async () => this.report());
        this.server.post("/v1/orders", async (request, reply) => this.order(request, reply));
        this.server.post("/v1/generate", async (request, reply) => this.generate(request, reply));
        this.server.delete<{ Params: { attempt: string; }; }>("/v1/generate/:attempt", async (request, reply) => {
            this.batch.cancel(request.params.attempt);
            await reply.code(204).send();
        });
        this.server.get<{ Querystring: { after?: string; }; }>(
            "/v1/cache-events",
            async request => this.cache.eventsAfter(Number(request.query.after ?? 0)),
        );
        this.server.post("/test/faults", async (request, reply) => this.setFaults(request, reply));
        this.server.get("/test/counters", async () => ({
            ...this.counters,
            ...this.batch.counters,
            capacity: this.ramp.capacity(),
        }));
    }

    /** Takes a call without an answer, or cuts it, when a fault says so. */
    private async screen(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        if (request.url.startsWith("/test/")) {
            return;
        }
        if (this.isDown) {
            reply.hijack();
            request.raw.socket.destroy();
        }
        else if (this.faults.silent) {
            reply.hijack();
        }
    }

    private report(): MemberReport {
        const { vm } = this.options;
        const load = this.load.read(this.faults.reportLagMs);
        return { vm: vm.name, bootId: this.bootId, ...this.role.describe(), ...load };
    }

    private async order(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const parsed = engineOrderSchema.safeParse(request.body);
        if (!parsed.success) {
            await reply.code(400).send({ error: "bad-order", faults: describeSchemaErrors(parsed.error) });
            return;
        }
        const change = this.role.take(parsed.data, !this.faults.ignoreFencing);
        switch (change.kind) {
            case "stale":
                this.counters.staleOrders += 1;
                await reply.code(409).send({ error: "stale-fence", highestFence: change.highestFence });
                return;
            case "emptied":
                this.counters.unloads += 1;
                this.empty();
                break;
            case "refenced":
                this.counters.refences += 1;
                this.batch.breakAll();
                this.members.watch(this.role.current);
                break;
            case "load":
                this.counters.loads += 1;
                void this.loadWeights(change.order.weightsGiB);
                break;
            case "unchanged":
        }
        await reply.code(202).send({ accepted: true });
    }

    private async loadWeights(weightsGiB: number): Promise<void> {
        this.empty();
        const { signal } = this.loading;
        this.members.watch(this.role.current);
        await this.options.weights.read(weightsGiB, signal);
        if (!signal.aborted) {
            this.role.finishLoading();
            this.ramp.restart();
        }
    }

    /** Drops what the last model left: streams, cache, a load in progress. */
    private empty(): void {
        this.loading.abort();
        this.loading = new AbortController();
        this.members.watch(undefined);
        this.batch.breakAll();
        this.cache.clear();
    }

    /** A replica whose members changed has lost its caches and is cold; one with a member missing is dead. */
    private onMembersChanged(bootIds: readonly string[] | undefined): void {
        if (bootIds) {
            this.cache.clear();
            this.ramp.restart();
        }
        else {
            this.batch.breakAll();
        }
    }

    private async generate(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        this.counters.generateCalls += 1;
        const parsed = generateRequestSchema.safeParse(request.body);
        if (!parsed.success) {
            await reply.code(400).send({
                error: "bad-request",
                ran: false,
                faults: describeSchemaErrors(parsed.error),
            });
            return;
        }
        const refusal = this.refusalOf(parsed.data);
        if (refusal) {
            this.counters[refusal.counter] += 1;
            const retryAfterMs = refusal.status === 503 ? RETRY_AFTER_MS : undefined;
            await reply.code(refusal.status).send({ error: refusal.error, ran: false, retryAfterMs });
            return;
        }
        this.startStream(parsed.data, reply);
    }

    private refusalOf(body: GenerateRequest):
        | { status: 409 | 503; error: string; counter: "wrongEpoch" | "memberMissing" | "notReady" | "refused"; }
        | undefined
    {
        const role = this.role.describe();
        if (role.group !== body.group || role.epoch !== body.epoch) {
            return { status: 409, error: "wrong-epoch", counter: "wrongEpoch" };
        }
        if (role.rank !== 0 || !this.role.ready) {
            return { status: 503, error: "not-ready", counter: "notReady" };
        }
        if (!this.members.allPresent) {
            return { status: 503, error: "member-missing", counter: "memberMissing" };
        }
        if (this.faults.refuseAll) {
            return { status: 503, error: "overloaded", counter: "refused" };
        }
        return undefined;
    }

    private startStream(body: GenerateRequest, reply: FastifyReply): void {
        reply.hijack();
        const { clock, vm } = this.options;
        const breakAfterTokens = this.faults.breakAfterTokens;
        this.faults.breakAfterTokens = undefined;
        const stream = TokenStream.create({
            request: body,
            modelVersion: this.role.current?.modelVersion ?? vm.name,
            response: reply.raw,
            nowMs: clock.monotonicMs(),
            breakAfterTokens,
        });
        reply.raw.once("close", () => {
            if (!reply.raw.writableFinished) {
                this.batch.cancel(body.attemptId);
            }
        });
        const part = this.cache.touch(body.prompt) ? CACHED_PREFILL_PART : 1;
        this.batch.add(stream, this.behaviour.prefillMs * part * this.faults.slowFactor);
    }

    private async fallOver(): Promise<void> {
        this.isDown = true;
        this.empty();
        await this.options.clock.sleep(this.behaviour.restartMs);
        this.restart();
        this.isDown = false;
    }

    private restart(): void {
        this.counters.restarts += 1;
        this.role = EngineRole.create(this.behaviour.keepsWeights);
        this.empty();
        this.bootId = this.options.identities.uniqueId();
    }

    private async setFaults(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const parsed = engineFaultsSchema.safeParse(request.body);
        if (!parsed.success) {
            await reply.code(400).send({ faults: describeSchemaErrors(parsed.error) });
            return;
        }
        const { restart, ...faults }: EngineFaults = parsed.data;
        Object.assign(this.faults, faults);
        if (restart) {
            this.restart();
        }
        await reply.send({ ok: true });
    }
}

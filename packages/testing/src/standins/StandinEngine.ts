import type { MemberReport } from "@fescuehaven/coordination";
import { type Clock, describeSchemaErrors, type Random } from "@fescuehaven/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { AddressInfo } from "node:net";
import { CapacityRamp } from "./CapacityRamp.js";
import { ContinuousBatch } from "./ContinuousBatch.js";
import { createStandinServer } from "./createStandinServer.js";
import { EngineAssignment } from "./EngineAssignment.js";
import type { EngineBehaviour } from "./EngineBehaviour.js";
import { type EngineFaults, engineFaultsSchema } from "./EngineFaults.js";
import { engineOrderSchema } from "./engineOrderSchema.js";
import { type GenerateRequest, generateRequestSchema } from "./GenerateRequest.js";
import { LaggingLoad } from "./LaggingLoad.js";
import { MemberCheck } from "./MemberCheck.js";
import { PrefixCache } from "./PrefixCache.js";
import { TokenStream } from "./TokenStream.js";
import type { WeightStore } from "./WeightStore.js";

/** Retry-after delay of refusals. */
const RETRY_AFTER_MS = 100;

/** Fraction of the prefill time that remains when the prompt's prefix is cached. */
const CACHED_PREFILL_FRACTION = 0.2;

interface StandinEngineOptions {
    vm: { name: string; host: string; port: number; };
    behaviour: EngineBehaviour;
    weights: WeightStore;
    clock: Clock;
    /** Source of the repeatable random variation. */
    random: Random;
    /** Source of unique boot ids. */
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
    private readonly memberCheck: MemberCheck;
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
    private assignment: EngineAssignment;
    private bootId: string;
    private loadAborter = new AbortController();
    private isDown = false;

    private constructor(private readonly options: StandinEngineOptions) {
        const { clock, random, behaviour, vm } = options;
        this.behaviour = behaviour;
        this.assignment = EngineAssignment.create(behaviour.keepsWeights);
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
            onChange: (running, waiting) => this.load.record(running, waiting),
            onCrash: () => void this.crash(),
        });
        this.memberCheck = MemberCheck.create({
            clock,
            intervalMs: behaviour.memberCheckMs,
            timeoutMs: behaviour.memberTimeoutMs,
            localAddress: vm.host,
            onChange: bootIds => this.onMembersChanged(bootIds),
        });
        this.addRoutes();
    }

    /** Creates an engine without a model; it accepts connections once `listen` is called. */
    static create(options: StandinEngineOptions): StandinEngine {
        return new StandinEngine(options);
    }

    /** Starts listening and returns the base URL. */
    async listen(): Promise<string> {
        const { host, port } = this.options.vm;
        await this.server.listen({ host, port });
        return `http://${host}:${(this.server.server.address() as AddressInfo).port}`;
    }

    /** Stops listening and closes open connections. */
    async close(): Promise<void> {
        this.loadAborter.abort();
        this.batch.abortAll();
        await this.memberCheck.close();
        await this.server.close();
    }

    private addRoutes(): void {
        this.server.addHook("onRequest", async (request, reply) => this.applyConnectionFaults(request, reply));
        this.server.get("/v1/report", async () => this.report());
        this.server.post("/v1/orders", async (request, reply) => this.handleOrder(request, reply));
        this.server.post("/v1/generate", async (request, reply) => this.handleGenerate(request, reply));
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

    /** Closes the connection while the engine is down, and sends no response while the fault `silent` is on. */
    private async applyConnectionFaults(request: FastifyRequest, reply: FastifyReply): Promise<void> {
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
        return { vm: vm.name, bootId: this.bootId, ...this.assignment.describe(), ...load };
    }

    private async handleOrder(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const parsed = engineOrderSchema.safeParse(request.body);
        if (!parsed.success) {
            await reply.code(400).send({ error: "bad-order", faults: describeSchemaErrors(parsed.error) });
            return;
        }
        const effect = this.assignment.apply(parsed.data, !this.faults.ignoreFencing);
        switch (effect.kind) {
            case "stale":
                this.counters.staleOrders += 1;
                await reply.code(409).send({ error: "stale-fence", highestFence: effect.highestFence });
                return;
            case "emptied":
                this.counters.unloads += 1;
                this.discardModel();
                break;
            case "fence-changed":
                this.counters.refences += 1;
                this.batch.abortAll();
                this.memberCheck.probeMembers(this.assignment.currentOrder);
                break;
            case "load":
                this.counters.loads += 1;
                void this.loadWeights(effect.order.weightsGiB);
                break;
            case "unchanged":
        }
        await reply.code(202).send({ accepted: true });
    }

    private async loadWeights(weightsGiB: number): Promise<void> {
        this.discardModel();
        const { signal } = this.loadAborter;
        this.memberCheck.probeMembers(this.assignment.currentOrder);
        await this.options.weights.read(weightsGiB, signal);
        if (!signal.aborted) {
            this.assignment.finishLoading();
            this.ramp.restart();
        }
    }

    /** Aborts the load in progress and all streams, and clears the cache. */
    private discardModel(): void {
        this.loadAborter.abort();
        this.loadAborter = new AbortController();
        this.memberCheck.probeMembers(undefined);
        this.batch.abortAll();
        this.cache.clear();
    }

    /** Clears the cache and the warm-up when the members changed; aborts all streams when one is missing. */
    private onMembersChanged(bootIds: readonly string[] | undefined): void {
        if (bootIds) {
            this.cache.clear();
            this.ramp.restart();
        }
        else {
            this.batch.abortAll();
        }
    }

    private async handleGenerate(request: FastifyRequest, reply: FastifyReply): Promise<void> {
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
        const assigned = this.assignment.describe();
        if (assigned.group !== body.group || assigned.epoch !== body.epoch) {
            return { status: 409, error: "wrong-epoch", counter: "wrongEpoch" };
        }
        if (assigned.rank !== 0 || !this.assignment.isReady) {
            return { status: 503, error: "not-ready", counter: "notReady" };
        }
        if (!this.memberCheck.allPresent) {
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
            modelVersion: this.assignment.currentOrder?.modelVersion ?? vm.name,
            response: reply.raw,
            nowMs: clock.monotonicMs(),
            breakAfterTokens,
        });
        reply.raw.once("close", () => {
            if (!reply.raw.writableFinished) {
                this.batch.cancel(body.attemptId);
            }
        });
        const prefillFraction = this.cache.lookUpAndStore(body.prompt) ? CACHED_PREFILL_FRACTION : 1;
        this.batch.add(stream, this.behaviour.prefillMs * prefillFraction * this.faults.slowFactor);
    }

    private async crash(): Promise<void> {
        this.isDown = true;
        this.discardModel();
        await this.options.clock.sleep(this.behaviour.restartMs);
        this.restart();
        this.isDown = false;
    }

    private restart(): void {
        this.counters.restarts += 1;
        this.assignment = EngineAssignment.create(this.behaviour.keepsWeights);
        this.discardModel();
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

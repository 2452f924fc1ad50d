import { type Clock, describeSchemaErrors, type Random } from "@fescuehaven/runtime";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { createHash } from "node:crypto";
import type { AddressInfo } from "node:net";
import { createStandinServer } from "./createStandinServer.js";
import { type ServiceFaults, serviceFaultsSchema } from "./ServiceFaults.js";
import type { ServiceSettings } from "./ServiceSettings.js";

/** Retry-after delay of refusals. */
const RETRY_AFTER_MS = 100;

/** A stand-in of a plain service: responds with the hash of the body and counts executions by key and request id. */
export class StandinService {
    private readonly server: FastifyInstance = createStandinServer();
    private readonly faults: Required<ServiceFaults> = {
        dieAfterExecuting: 0,
        hangAfterExecuting: 0,
        refuse: 0,
        delayMs: 0,
        silent: false,
    };
    private readonly byKey = new Map<string, number>();
    private readonly byRequestId = new Map<string, number>();
    private total = 0;
    private refused = 0;

    private constructor(
        private readonly settings: ServiceSettings,
        private readonly clock: Clock,
        private readonly random: Random,
    ) {
        this.addRoutes();
    }

    /** Creates the stand-in; it accepts connections once `listen` is called. */
    static create(options: { settings: ServiceSettings; clock: Clock; random: Random; }): StandinService {
        return new StandinService(options.settings, options.clock, options.random);
    }

    /** Starts listening and returns the base URL. */
    async listen(): Promise<string> {
        const { host, port } = this.settings.listen;
        await this.server.listen({ host, port });
        return `http://${host}:${(this.server.server.address() as AddressInfo).port}`;
    }

    /** Stops listening and closes open connections. */
    async close(): Promise<void> {
        await this.server.close();
    }

    private addRoutes(): void {
        this.server.removeAllContentTypeParsers();
        this.server.addContentTypeParser(
            "*",
            { parseAs: "buffer" },
            async (_request: FastifyRequest, body: Buffer) => body,
        );
        this.server.post("/test/faults", async (request, reply) => this.setFaults(request, reply));
        this.server.get("/test/executions", async () => ({
            total: this.total,
            refused: this.refused,
            byKey: Object.fromEntries(this.byKey),
            byRequestId: Object.fromEntries(this.byRequestId),
        }));
        this.server.post("/*", async (request, reply) => this.handleCall(request, reply));
    }

    private async handleCall(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        if (this.faults.silent) {
            reply.hijack();
            return;
        }
        if (this.consumeFault("refuse")) {
            this.refused += 1;
            await reply.code(503).header("did-not-run", "true").header("retry-after-ms", String(RETRY_AFTER_MS)).send();
            return;
        }
        const count = this.countExecution(request);
        const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
        const executionId = this.random.uniqueId();
        await this.clock.sleep(this.settings.executionMs + this.faults.delayMs);
        if (this.consumeFault("dieAfterExecuting")) {
            reply.hijack();
            request.raw.socket.destroy();
            return;
        }
        if (this.consumeFault("hangAfterExecuting")) {
            reply.hijack();
            return;
        }
        await reply.send({ executionId, bodySha256: createHash("sha256").update(body).digest("hex"), count });
    }

    /** Counts an execution and returns how often its key has run, or its request id when the call has no key. */
    private countExecution(request: FastifyRequest): number {
        this.total += 1;
        const requestId = headerOf(request, "request-id");
        const key = headerOf(request, "idempotency-key");
        const byRequestId = requestId === undefined ? 1 : increment(this.byRequestId, requestId);
        return key === undefined ? byRequestId : increment(this.byKey, key);
    }

    private consumeFault(fault: "dieAfterExecuting" | "hangAfterExecuting" | "refuse"): boolean {
        if (this.faults[fault] === 0) {
            return false;
        }
        this.faults[fault] -= 1;
        return true;
    }

    private async setFaults(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const parsed = serviceFaultsSchema.safeParse(JSON.parse(String(request.body)));
        if (!parsed.success) {
            await reply.code(400).send({ faults: describeSchemaErrors(parsed.error) });
            return;
        }
        Object.assign(this.faults, parsed.data);
        await reply.send({ ok: true });
    }
}

function headerOf(request: FastifyRequest, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function increment(counts: Map<string, number>, name: string): number {
    const count = (counts.get(name) ?? 0) + 1;
    counts.set(name, count);
    return count;
}

import Fastify, { type FastifyInstance } from "fastify";

/** What a `HealthServer` is made of. */
interface HealthServerOptions {
    host: string;
    port: number;
    /** Whether the process can do its work. */
    ready: () => boolean;
}

/** Answers health checks: `/healthz` while the process runs, `/readyz` while it can work. */
export class HealthServer {
    private readonly server: FastifyInstance;

    private constructor(private readonly options: HealthServerOptions) {
        this.server = Fastify({ forceCloseConnections: true });
        this.server.get("/healthz", () => ({ status: "ok" }));
        this.server.get("/readyz", (_request, reply) => {
            const ready = this.options.ready();
            return reply.code(ready ? 200 : 503).send({ status: ready ? "ready" : "not-ready" });
        });
    }

    /** Creates the server; it listens after `listen`. */
    static create(options: HealthServerOptions): HealthServer {
        return new HealthServer(options);
    }

    /** Starts to listen. Rejects when the address cannot be bound. */
    async listen(): Promise<void> {
        await this.server.listen({ host: this.options.host, port: this.options.port });
    }

    /** Stops listening. */
    async close(): Promise<void> {
        await this.server.close();
    }
}

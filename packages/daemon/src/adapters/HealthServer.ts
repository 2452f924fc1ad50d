import Fastify, { type FastifyInstance } from "fastify";

interface HealthServerOptions {
    host: string;
    port: number;
    /** Whether the process is ready to work, as `/readyz` reports it. */
    ready: () => boolean;
}

/** HTTP server for health checks: `/healthz` succeeds while the process runs, `/readyz` while it is ready to work. */
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

    /** Starts listening. Rejects if the address cannot be bound. */
    async listen(): Promise<void> {
        await this.server.listen({ host: this.options.host, port: this.options.port });
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        await this.server.close();
    }
}

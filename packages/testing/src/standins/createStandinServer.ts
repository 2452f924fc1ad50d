import Fastify, { type FastifyInstance } from "fastify";

/** Largest request body that a stand-in accepts. */
const BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/** Creates an HTTP server that serves `GET /readyz` and closes its open connections when it is closed. */
export function createStandinServer(): FastifyInstance {
    const server = Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true, keepAliveTimeout: 60_000 });
    server.get("/readyz", () => ({ ready: true }));
    return server;
}

import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;

/** Workers of a plain service, which register in the store and answer requests as PROTOCOL.md says. */
export class PlainService {
    /** Requests that were run. */
    runs = [];
    servers = [];

    constructor({ store, service, workMs = 20 }) {
        Object.assign(this, { store, service, workMs });
    }

    async add(id, zone = "a") {
        const server = createServer((request, response) => void this.serve(id, request, response));
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${server.address().port}`;
        const born = Date.now();
        let sequence = 0;
        const register = () => {
            sequence += 1;
            const entry = { service: this.service, address, zone, version: "v1", slots: 18, state: "ready" };
            this.store.put("servers", id, { ...entry, coldRemainingMs: 0, sequence, born });
        };
        register();
        this.servers.push({ server, beat: setInterval(register, HEARTBEAT_MS) });
    }

    async serve(id, request, response) {
        const requestId = request.headers["x-fescuehaven-request-id"];
        for await (const _ of request) {
            // The content makes no difference to the answer.
        }
        if (request.headers["x-fescuehaven-expected-instance"] !== id) {
            response.writeHead(421, { "x-fescuehaven-instance-identifier": id }).end();
            return;
        }
        if (requestId === undefined) {
            response.writeHead(400, { "x-fescuehaven-not-executed": "1" }).end();
            return;
        }
        this.runs.push({
            id: requestId,
            worker: id,
            service: this.service,
            tenant: request.headers["x-fescuehaven-tenant"],
            atMs: performance.now(),
        });
        await new Promise(resolve => setTimeout(resolve, this.workMs));
        response.writeHead(200, {
            "x-fescuehaven-request-id": requestId,
            "x-fescuehaven-response-signature": `signed.${requestId}`,
        });
        response.end(`${this.service} answers ${requestId}`);
    }

    close() {
        for (const { server, beat } of this.servers) {
            clearInterval(beat);
            server.closeAllConnections();
            server.close();
        }
    }
}

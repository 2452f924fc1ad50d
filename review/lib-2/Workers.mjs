import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;

const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Stand-ins for the workers of a plain service, which follow the users' pages. */
export class Workers {
    all = new Map();
    /** Called with each request that a worker begins to run. */
    onRun = () => undefined;

    constructor(store) {
        this.store = store;
    }

    async add({ id, zone, slots }) {
        const worker = { id, zone, slots, born: Date.now(), beats: 0 };
        worker.server = createServer((request, response) =>
            void this.serve(worker, request, response).catch(() => response.destroy())
        );
        worker.server.keepAliveTimeout = 30_000;
        await new Promise(resolve => worker.server.listen(0, "127.0.0.1", resolve));
        worker.address = `127.0.0.1:${worker.server.address().port}`;
        worker.timer = setInterval(() => this.register(worker), HEARTBEAT_MS);
        this.all.set(id, worker);
        this.register(worker);
    }

    get(id) {
        return this.all.get(id);
    }

    close() {
        for (const { timer, server } of this.all.values()) {
            clearInterval(timer);
            server.closeAllConnections();
            server.close();
        }
    }

    register(worker) {
        worker.beats += 1;
        const { id, address, zone, slots, born, beats } = worker;
        const entry = {
            service: "app",
            address,
            zone,
            version: "1",
            slots,
            state: "ready",
            coldRemainingMs: 0,
            sequence: beats,
            born,
        };
        this.store.put("servers", id, entry);
    }

    async serve(worker, request, response) {
        for await (const _ of request) {
            // The body is read before the request runs.
        }
        const id = request.headers["x-fescuehaven-request-id"];
        const expected = request.headers["x-fescuehaven-expected-instance"];
        if (expected !== undefined && expected !== worker.id) {
            response.writeHead(421, {
                "x-fescuehaven-not-executed": "1",
                ...(id && { "x-fescuehaven-request-id": id }),
            }).end();
        }
        else if (id === undefined) {
            response.writeHead(400, { "x-fescuehaven-not-executed": "1" }).end();
        }
        else {
            this.onRun(worker, id);
            await (worker.run ?? this.run).call(this, request, response, id);
        }
    }

    /** Runs a request for as long as the last part of its path says, in ms, and answers it. */
    async run(request, response, id) {
        await delay(Number(/\/(\d+)$/.exec(request.url)?.[1] ?? 20));
        response.writeHead(200, { "x-fescuehaven-request-id": id, "x-fescuehaven-response-signature": `signed-${id}` })
            .end(`answer to ${id}`);
    }
}

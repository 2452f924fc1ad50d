import { SystemClock } from "@fescuehaven/runtime";
import { expect } from "chai";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { CallLimiter, HttpObjectStore, PlatformHttp } from "../../src/index.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const key = { kind: "route", name: "a" };
const TIMEOUT_MS = 200;

function respondWith(status: number, body: unknown): Handler {
    return (_request, response) => response.writeHead(status).end(JSON.stringify(body));
}

describe("HttpObjectStore", () => {
    let server: Server;
    let handler: Handler;
    let http: PlatformHttp;
    let store: HttpObjectStore;

    beforeEach(async () => {
        server = createServer((request, response) => handler(request, response));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        store = connect((server.address() as AddressInfo).port);
    });

    afterEach(async () => {
        await http.close();
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    });

    function connect(port: number): HttpObjectStore {
        const clock = SystemClock.create();
        http = PlatformHttp.create({ url: `http://127.0.0.1:${port}`, timeoutMs: TIMEOUT_MS, clock });
        const limiter = CallLimiter.create({ clock, callsPerSecond: 100, maxWaitMs: 1000 });
        return HttpObjectStore.create({ http, limiter });
    }

    const updates: [string, Handler, object][] = [
        ["a commit", respondWith(200, { revision: 7 }), { kind: "committed", revision: 7 }],
        ["a conflict", respondWith(409, { current: 3 }), { kind: "conflict", current: 3 }],
        ["a value that is too large", respondWith(413, { reason: "too large" }), {
            kind: "invalid",
            reason: "too large",
        }],
        ["a rate limit", respondWith(429, { retryAfterMs: 40 }), { kind: "unavailable", retryAfterMs: 40 }],
        ["an outage", respondWith(503, { retryAfterMs: 90 }), { kind: "unavailable", retryAfterMs: 90 }],
        ["an internal error, after which the update may have taken effect", respondWith(500, {}), { kind: "unknown" }],
        ["a response that is not JSON", (_request, response) => response.end("<html>"), { kind: "unknown" }],
        ["a connection that closes before the response", request => request.socket.destroy(), { kind: "unknown" }],
        ["a platform that does not respond", () => undefined, { kind: "unknown" }],
    ];
    for (const [what, respond, expected] of updates) {
        it(`interprets ${what} correctly`, async () => {
            handler = respond;
            expect(await store.write(key, { x: 1 }, 2, "claim")).to.deep.equal(expected);
        });
    }

    it("reports an update as not sent when the connection was refused", async () => {
        await http.close();
        store = connect(1);
        expect(await store.write(key, 1, 0, "claim")).to.have.property("kind", "unavailable");
    });

    it("sends the expected revision", async () => {
        let seen: string | undefined;
        handler = (request, response) => {
            seen = request.headers["if-match"];
            respondWith(200, { revision: 1 })(request, response);
        };
        await store.remove(key, 42, "intent");
        expect(seen).to.equal("42");
    });

    describe("that was restored from an older copy", () => {
        function respondInEra(era: string, status: number, body: unknown): void {
            handler = (_request, response) =>
                response.writeHead(status, { "store-era": era }).end(JSON.stringify(body));
        }

        it("states the era in all outcomes", async () => {
            respondInEra("3", 404, {});
            expect(await store.read(key, "read")).to.deep.equal({ kind: "absent", era: 3 });
            respondInEra("3", 200, { revision: 7 });
            expect(await store.write(key, 1, 0, "claim")).to.deep.equal({ kind: "committed", revision: 7, era: 3 });
            respondInEra("3", 200, { objects: [], revision: 7 });
            expect(await store.list(["route"], "read")).to.deep.include({ kind: "listed", era: 3 });
            respondInEra("4", 200, { changes: [], revision: 2 });
            const signal = new AbortController().signal;
            expect(await store.watch(["route"], 1, 0, signal)).to.deep.include({ kind: "changed", era: 4 });
            expect(await store.watch(["route"], 1, 0, signal, 3)).to.deep.equal({ kind: "compacted", era: 4 });
        });

        it("assumes the last known era of a response without a readable one", async () => {
            respondInEra("3", 404, {});
            await store.read(key, "read");
            respondInEra("x", 404, {});
            expect(await store.read(key, "read")).to.deep.equal({ kind: "absent", era: 3 });
            handler = respondWith(404, {});
            expect(await store.read(key, "read")).to.deep.equal({ kind: "absent", era: 3 });
        });

        it("does not send a conditional update whose revision is of an older era", async () => {
            respondInEra("3", 404, {});
            await store.read(key, "read");
            let calls = 0;
            handler = (request, response) => {
                calls += 1;
                respondWith(200, { revision: 7 })(request, response);
            };
            expect((await store.write(key, 1, 5, "journal", 2)).kind).to.equal("unavailable");
            expect((await store.remove(key, 5, "journal", 2)).kind).to.equal("unavailable");
            expect(calls).to.equal(0);
            expect((await store.write(key, 1, 5, "journal", 3)).kind).to.equal("committed");
        });
    });

    it("replaces a silent connection with a new one", async () => {
        const sockets = new Set<unknown>();
        handler = request => {
            sockets.add(request.socket);
        };
        await store.read(key, "read");
        handler = (request, response) => {
            sockets.add(request.socket);
            respondWith(404, {})(request, response);
        };
        expect(await store.read(key, "read")).to.deep.equal({ kind: "absent" });
        expect(sockets.size).to.equal(2);
    });

    it("distinguishes a compacted history from an outage", async () => {
        handler = respondWith(410, {});
        const signal = new AbortController().signal;
        expect(await store.watch(["route"], 5, 50, signal)).to.deep.equal({ kind: "compacted" });
        handler = respondWith(503, {});
        expect(await store.watch(["route"], 5, 50, signal)).to.have.property("kind", "unavailable");
    });
});

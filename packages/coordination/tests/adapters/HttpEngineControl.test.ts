import { expect } from "chai";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type EngineOrder, HttpEngineControl } from "../../src/index.js";

const REPORT = {
    vm: "vm-1",
    bootId: "b",
    group: "g",
    epoch: 3,
    modelVersion: "m",
    rank: 0,
    phase: "ready",
    runningRequests: 1,
    waitingRequests: 0,
};
const ORDER: EngineOrder = { kind: "unload", fence: 4 };
const TIMEOUT_MS = 300;

describe("HttpEngineControl", () => {
    let server: Server;
    let url: string;
    let respond: (request: IncomingMessage, response: ServerResponse) => void;
    const control = HttpEngineControl.create({ localAddress: "127.0.0.1" });

    before(async () => {
        server = createServer((request, response) => respond(request, response));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    after(async () => {
        await control.close();
        server.closeAllConnections();
        server.close();
    });

    const respondWith = (status: number, body: unknown) => {
        respond = (_request, response) => response.writeHead(status).end(JSON.stringify(body));
    };

    it("reads a report", async () => {
        respondWith(200, REPORT);
        expect(await control.report(url, TIMEOUT_MS)).to.deep.equal(REPORT);
    });

    const unusable: Array<[name: string, status: number, body: unknown]> = [
        ["a failure", 500, REPORT],
        ["a report without a boot id", 200, { ...REPORT, bootId: undefined }],
        ["an unknown phase", 200, { ...REPORT, phase: "warm" }],
    ];
    for (const [name, status, body] of unusable) {
        it(`returns no report for ${name}`, async () => {
            respondWith(status, body);
            expect(await control.report(url, TIMEOUT_MS)).to.be.undefined;
        });
    }

    const outcomes: Array<[status: number, body: unknown, outcome: unknown]> = [
        [202, { accepted: true }, { kind: "accepted" }],
        [409, { error: "stale-fence", highestFence: 9 }, { kind: "stale", highestFence: 9 }],
        [409, { error: "other" }, { kind: "unknown" }],
        [500, {}, { kind: "unknown" }],
    ];
    for (const [status, body, outcome] of outcomes) {
        it(`turns ${status} ${JSON.stringify(body)} into an outcome`, async () => {
            respondWith(status, body);
            expect(await control.order(url, ORDER, TIMEOUT_MS)).to.deep.equal(outcome);
        });
    }

    it("abandons a connection that stays silent, even in the middle of a response", async () => {
        const sockets = new Set<unknown>();
        respond = (request, response) => {
            sockets.add(request.socket);
            response.writeHead(200).write("{");
        };
        expect(await control.report(url, TIMEOUT_MS)).to.be.undefined;
        expect(await control.order(url, ORDER, TIMEOUT_MS)).to.deep.equal({ kind: "unknown" });
        respondWith(200, REPORT);
        expect(await control.report(url, TIMEOUT_MS)).to.deep.equal(REPORT);
        expect(sockets.size).to.equal(2);
    });
});

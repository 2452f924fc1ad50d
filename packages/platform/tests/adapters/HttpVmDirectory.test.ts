import { SystemClock } from "@fescuehaven/runtime";
import { expect } from "chai";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { CallLimiter, HttpVmDirectory, PlatformHttp } from "../../src/index.js";

const vm = {
    name: "vm-1",
    region: "koper",
    zone: "a",
    fabricDomain: "d1",
    role: "engine",
    address: "127.0.0.1",
    enginePort: 9000,
    accelerators: 8,
    state: "live",
};

describe("HttpVmDirectory", () => {
    let server: Server;
    let http: PlatformHttp;
    let directory: HttpVmDirectory;
    let handler: (request: IncomingMessage, response: ServerResponse) => void;

    beforeEach(async () => {
        server = createServer((request, response) => handler(request, response));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const clock = SystemClock.create();
        http = PlatformHttp.create({ url: `http://127.0.0.1:${port}`, timeoutMs: 1000, clock });
        directory = HttpVmDirectory.create({
            http,
            limiter: CallLimiter.create({ clock, callsPerSecond: 100, maxWaitMs: 1000 }),
        });
    });

    afterEach(async () => {
        await http.close();
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    });

    it("returns the cached list if it has not changed", async () => {
        let bodies = 0;
        handler = (request, response) => {
            if (request.headers["if-none-match"] === '"1"') {
                response.writeHead(304).end();
                return;
            }
            bodies += 1;
            response.setHeader("etag", '"1"').end(JSON.stringify({ vms: [vm] }));
        };
        expect(await directory.listVms()).to.deep.equal({ kind: "listed", vms: [vm] });
        expect(await directory.listVms()).to.deep.equal({ kind: "listed", vms: [vm] });
        expect(bodies).to.equal(1);
    });

    it("treats a list that does not validate as an outage", async () => {
        handler = (_request, response) => response.end(JSON.stringify({ vms: [{ ...vm, state: "gone" }] }));
        expect(await directory.listVms()).to.have.property("kind", "unavailable");
    });
});

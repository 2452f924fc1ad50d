import { expect } from "chai";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { RouterFixture } from "./support/RouterFixture.js";
import { waitFor } from "./support/waitFor.js";

const READINESS_LAG_MS = 1500;

const callBody = JSON.stringify({ model: "m", messages: [{ role: "user", content: "hello" }] });
const callBytes = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-small\r\n"
    + `content-type: application/json\r\ncontent-length: ${callBody.length}\r\n\r\n${callBody}`;

const healthCheck = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

describe("shutdown of a router", () => {
    let fixture: RouterFixture;
    let socket: Socket;
    let received: string;
    let closed: Promise<unknown>;

    beforeEach(async () => {
        fixture = RouterFixture.create({ settings: { readinessLagMs: READINESS_LAG_MS } });
        const { hostname, port } = new URL(await fixture.router.server.listen("127.0.0.1", 0));
        socket = connect(Number(port), hostname).setEncoding("utf8");
        closed = once(socket, "close");
        received = "";
        socket.on("data", (text: string) => received += text);
        await once(socket, "connect");
        socket.write(healthCheck);
        await waitFor("the first response", () => received.endsWith("}"));
        received = "";
    });

    afterEach(async () => {
        socket.destroy();
        await fixture.stop();
    });

    it("rejects requests on kept connections as not run until load balancers have noticed it", async () => {
        const drained = fixture.router.drain();
        await fixture.clock.advance(READINESS_LAG_MS - 1);
        socket.write(callBytes);
        await closed;
        expect(received).to.match(/^HTTP\/1\.1 503 /).and.to.match(/^connection: close\r$/im);
        expect(received).to.contain('"type":"draining"').and.to.contain('"ran":"no"');
        await fixture.clock.advance(1);
        await drained;
    });

    it("responds to a request that has arrived when idle connections are closed", async () => {
        socket.write(healthCheck);
        await fixture.router.server.close();
        await closed;
        expect(received).to.match(/^HTTP\/1\.1 200 /);
    });

    it("rejects a request as not run whose body arrives after idle connections were closed", async () => {
        const drained = fixture.router.drain();
        socket.write(callBytes.slice(0, -1));
        await fixture.clock.advance(READINESS_LAG_MS);
        socket.write(callBytes.slice(-1));
        await closed;
        expect(received).to.contain('"type":"draining"').and.to.contain('"ran":"no"');
        await drained;
    });
});

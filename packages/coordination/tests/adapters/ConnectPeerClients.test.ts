import { connectNodeAdapter } from "@connectrpc/connect-node";
import { EvidenceService } from "@fescuehaven/protocol";
import { expect } from "chai";
import { createServer, type Http2Server } from "node:http2";
import { type AddressInfo, connect, createServer as createTcpServer, type Server, type Socket } from "node:net";
import { ConnectPeerClients, type Peer } from "../../src/index.js";

/** A TCP relay that can silently drop all further bytes of its existing connections. */
class DroppingRelay {
    readonly remoteAddresses: string[] = [];
    connections = 0;
    private dropped = 0;
    private readonly sockets: Socket[] = [];

    private constructor(private readonly server: Server) {}

    static async create(port: number): Promise<DroppingRelay> {
        const server = createTcpServer();
        const relay = new DroppingRelay(server);
        server.on("connection", inbound => relay.join(inbound, connect(port, "127.0.0.1")));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return relay;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Makes all existing connections drop everything from now on; later ones work. */
    dropExisting(): void {
        this.dropped = this.connections;
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private join(inbound: Socket, outbound: Socket): void {
        this.connections += 1;
        const index = this.connections;
        this.remoteAddresses.push(inbound.remoteAddress ?? "");
        this.sockets.push(inbound, outbound);
        const pass = (to: Socket) => (data: Buffer) => index > this.dropped && to.write(data);
        inbound.on("data", pass(outbound)).on("error", () => {});
        outbound.on("data", pass(inbound)).on("error", () => {});
    }
}

describe("ConnectPeerClients", () => {
    let server: Http2Server;
    let relay: DroppingRelay;
    let clients: ConnectPeerClients;
    let peer: Peer;

    beforeEach(async () => {
        const handler = connectNodeAdapter({
            routes: router =>
                router.service(EvidenceService, {
                    sampleClock: () => ({ incarnation: "i", monotonicMs: 1 }),
                    async *watchEvidence(_request, context) {
                        yield { incarnation: "i" };
                        await new Promise(resolve => context.signal.addEventListener("abort", resolve));
                    },
                }),
        });
        server = createServer(handler);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        relay = await DroppingRelay.create((server.address() as AddressInfo).port);
        peer = { name: "p", zone: "a", role: "router", url: `http://127.0.0.1:${relay.port}` };
        clients = ConnectPeerClients.create({ localAddress: "127.0.0.2", pingIntervalMs: 50, pingTimeoutMs: 50 });
    });

    afterEach(() => {
        clients.close();
        relay.close();
        server.close();
    });

    const sample = () => clients.get(EvidenceService, peer).sampleClock({}, { timeoutMs: 5000 });

    it("connects from its local address and shares one connection", async () => {
        clients = ConnectPeerClients.create({ localAddress: "127.0.0.2", pingIntervalMs: 60_000 });
        await Promise.all([sample(), sample()]);
        expect((await sample()).incarnation).to.equal("i");
        expect(relay.remoteAddresses).to.deep.equal(["127.0.0.2"]);
    });

    it("ends a stream whose connection went silent, and opens a new connection", async () => {
        const updates = clients.get(EvidenceService, peer).watchEvidence({})[Symbol.asyncIterator]();
        await updates.next();
        relay.dropExisting();
        const failure: unknown = await updates.next().catch((error: unknown) => error);
        expect(failure).to.be.instanceOf(Error);
        expect((await sample()).incarnation).to.equal("i");
        expect(relay.connections).to.equal(2);
    });

    it("abandons a connection on request without ending its calls", async () => {
        clients = ConnectPeerClients.create({ pingIntervalMs: 60_000 });
        const updates = clients.get(EvidenceService, peer).watchEvidence({})[Symbol.asyncIterator]();
        await updates.next();
        clients.abandon(peer);
        await sample();
        expect(relay.connections).to.equal(2);
        const state = await Promise.race([updates.next().then(() => "ended"), sample().then(() => "open")]);
        expect(state).to.equal("open");
    });
});

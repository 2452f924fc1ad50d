import { connectNodeAdapter } from "@connectrpc/connect-node";
import { ConnectPeerClients, HttpEngineControl, type Peer } from "@fescuehaven/coordination";
import { ConfigurationService, EvidenceService } from "@fescuehaven/protocol";
import { createServer as createHttpServer } from "node:http";
import { createServer as createHttp2Server } from "node:http2";
import type { AddressInfo, Server, Socket } from "node:net";
import { createZoneFixture } from "./createZoneFixture.js";
import type { WireCost } from "./WireCost.js";

const WARM_UP_COUNT = 200;
const MEASURED_COUNT = 2000;
const TIMEOUT_MS = 5000;
const HOST = "127.0.0.1";
/** Number of VMs that an update repeats, as with two routers in a zone of 33 VMs. */
const REPEATED_VMS = 16;

/** Measures single messages over loopback, with client and server in this process. */
export async function measureWire(): Promise<WireCost[]> {
    return [await measureProbe(), await measureExchange(), await measureUpdates()];
}

async function measureProbe(): Promise<WireCost> {
    const [report] = createZoneFixture(1, 1).reports;
    const body = JSON.stringify(report);
    const server = createHttpServer((_request, response) => {
        response.writeHead(200, { "content-type": "application/json" }).end(body);
    });
    const listener = await listen(server);
    const control = HttpEngineControl.create();
    const cost = await measure("probe", listener, () => control.report(`http://${HOST}:${listener.port}`, TIMEOUT_MS));
    await control.close();
    server.close();
    return cost;
}

async function measureExchange(): Promise<WireCost> {
    const { clients, close, peer, listener } = await startPeer();
    const client = clients.get(ConfigurationService, peer);
    const request = { sender: "daemon-100", rootHash: 0xfedcba9876543210n };
    const cost = await measure("digest-exchange", listener, () => client.exchangeDigest(request));
    close();
    return cost;
}

async function measureUpdates(): Promise<WireCost> {
    const { clients, close, peer, listener } = await startPeer();
    const updates = clients.get(EvidenceService, peer).watchEvidence({})[Symbol.asyncIterator]();
    const cost = await measure("evidence-update", listener, () => updates.next());
    close();
    return cost;
}

async function startPeer() {
    const repeated = Array.from({ length: REPEATED_VMS }, (_, index) => index);
    const server = createHttp2Server(connectNodeAdapter({
        routes: router => {
            router.service(ConfigurationService, {
                exchangeDigest: request => ({ rootHash: request.rootHash, complete: true, coveredRevision: 100_000n }),
            });
            router.service(EvidenceService, {
                async *watchEvidence(_request, context) {
                    while (!context.signal.aborted) {
                        await new Promise(resolve => setImmediate(resolve));
                        yield {
                            incarnation: "00000000-0000-0000-0000-000000000000",
                            sentAtMs: 123_456.789,
                            repeatedSlots: repeated,
                            repeatedAgesMs: repeated,
                            repeatedRunningRequests: repeated,
                            repeatedWaitingRequests: repeated,
                        };
                    }
                },
            });
        },
    }));
    const listener = await listen(server);
    const clients = ConnectPeerClients.create();
    const peer: Peer = { name: "peer", zone: "zone-a", role: "router", url: `http://${HOST}:${listener.port}` };
    const close = () => {
        clients.close();
        server.close();
    };
    return { clients, close, peer, listener };
}

interface ListeningServer {
    port: number;
    bytes: () => number;
}

async function listen(server: Server): Promise<ListeningServer> {
    const sockets: Socket[] = [];
    server.on("connection", (socket: Socket) => sockets.push(socket));
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    return {
        port: (server.address() as AddressInfo).port,
        bytes: () => sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0),
    };
}

async function measure(
    operation: WireCost["operation"],
    listener: ListeningServer,
    perform: () => Promise<unknown>,
): Promise<WireCost> {
    for (let count = 0; count < WARM_UP_COUNT; count++) {
        await perform();
    }
    const bytesBefore = listener.bytes();
    const before = process.cpuUsage();
    for (let count = 0; count < MEASURED_COUNT; count++) {
        await perform();
    }
    const used = process.cpuUsage(before);
    return {
        operation,
        bytes: (listener.bytes() - bytesBefore) / MEASURED_COUNT,
        cpuMicros: (used.user + used.system) / MEASURED_COUNT,
    };
}

import { createClient, createRouterTransport, type Transport } from "@connectrpc/connect";
import type { Peer, PeerClients } from "@fescuehaven/coordination";
import { ForwardService } from "@fescuehaven/protocol";
import { ConnectZoneForwarder } from "../../src/adapters/ConnectZoneForwarder.js";
import type { ZoneForwarder } from "../../src/ports/ZoneForwarder.js";
import type { RouterFixture } from "./RouterFixture.js";

/** A connection on which no response ever arrives. */
const silentTransport = createRouterTransport(router => {
    router.service(ForwardService, {
        async *forwardGeneration(_request, context) {
            await new Promise(resolve => context.signal.addEventListener("abort", resolve, { once: true }));
        },
        forwardServiceCall: async (_request, context) => {
            await new Promise(resolve => context.signal.addEventListener("abort", resolve, { once: true }));
            return {};
        },
    });
});

/** Connects the peer interfaces of routers in one test process over the in-memory transport of connect-es. */
export class PeerNetwork {
    /** Peers whose connection was abandoned, in order. */
    readonly abandoned: string[] = [];
    /** Peers that accept calls and never respond. */
    readonly silent = new Set<string>();
    private readonly transports = new Map<string, Transport>();

    private constructor() {}

    static create(): PeerNetwork {
        return new PeerNetwork();
    }

    /** Makes a router's peer interface reachable. */
    add(name: string, fixture: RouterFixture): void {
        this.transports.set(name, createRouterTransport(router => fixture.router.registerOn(router)));
    }

    /** Creates a forwarder over this network. */
    forwarder(): ZoneForwarder {
        const clients: PeerClients = {
            get: (service, peer: Peer) => {
                const transport = this.transports.get(peer.name);
                if (!transport) {
                    throw Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
                }
                return createClient(service, this.silent.has(peer.name) ? silentTransport : transport);
            },
            abandon: peer => void this.abandoned.push(peer.name),
        };
        return ConnectZoneForwarder.create({ clients });
    }
}

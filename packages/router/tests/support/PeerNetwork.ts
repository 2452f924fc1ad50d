import { createClient, createRouterTransport, type Transport } from "@connectrpc/connect";
import type { Peer, PeerClients } from "@fescuehaven/coordination";
import { ConnectZoneForwarder } from "../../src/adapters/ConnectZoneForwarder.js";
import type { ZoneForwarder } from "../../src/ports/ZoneForwarder.js";
import type { RouterFixture } from "./RouterFixture.js";

/** The peer interfaces of routers in one test process, over connect-es's in-memory transport. */
export class PeerNetwork {
    private readonly transports = new Map<string, Transport>();

    static create(): PeerNetwork {
        return new PeerNetwork();
    }

    /** Makes a router's peer interface reachable. */
    add(name: string, fixture: RouterFixture): void {
        this.transports.set(name, createRouterTransport(router => fixture.router.registerOn(router)));
    }

    /** A forwarder over this network. */
    forwarder(): ZoneForwarder {
        const clients: PeerClients = {
            get: (service, peer: Peer) => {
                const transport = this.transports.get(peer.name);
                if (!transport) {
                    throw Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
                }
                return createClient(service, transport);
            },
            abandon: () => undefined,
        };
        return ConnectZoneForwarder.create({ clients });
    }
}

import type { Random } from "@fescuehaven/runtime";
import type { PeerConnections } from "./PeerConnections.js";
import type { PeerExchange } from "./PeerExchange.js";

interface RelayDirectoryOptions {
    random: Random;
    zone: string;
    connections: PeerConnections;
    exchange: PeerExchange;
}

/** Number of gateways that are tried for one request. */
const MAX_RELAYS = 3;

/** Finds gateways through which requests can be sent to upstreams that this gateway does not reach. */
export class RelayDirectory {
    private constructor(private readonly options: RelayDirectoryOptions) {}

    /** Creates a directory of the registered gateways. */
    static create(options: RelayDirectoryOptions): RelayDirectory {
        return new RelayDirectory(options);
    }

    /**
     * Returns addresses of gateways that reach upstreams of a service, in random order, those of the own zone first. In
     * large fleets, where the state of few gateways is known, others follow.
     */
    addressesFor(service: string): string[] {
        const { connections, exchange, zone } = this.options;
        const reaching = exchange.peersThatReach(service);
        const local = reaching.filter(vm => connections.zoneOf(vm) === zone);
        const remote = reaching.filter(vm => connections.zoneOf(vm) !== zone);
        const unknown = connections.hasHubs
            ? connections.otherGateways().filter(vm => exchange.reaches(vm, service) === undefined)
            : [];
        return [local, remote, unknown]
            .flatMap(vms => this.rotate(vms))
            .map(vm => connections.relayAddressOf(vm))
            .filter(address => address !== undefined)
            .slice(0, MAX_RELAYS);
    }

    private rotate(vms: readonly string[]): string[] {
        const first = Math.floor(this.options.random.next() * vms.length);
        return [...vms.slice(first), ...vms.slice(0, first)];
    }
}

/** An entry VM of a system on loopback, which runs a router and a controller. */
export interface EntryVm {
    name: string;
    zone: string;
    /** IP address on loopback. */
    address: string;
    router: DaemonEndpoint;
    controller: DaemonEndpoint;
}

interface DaemonEndpoint {
    /** Process name. */
    name: string;
    /** Base URL for health checks and, for routers, for callers. */
    url: string;
    /** Base URL of the peer interface. */
    peerUrl: string;
}

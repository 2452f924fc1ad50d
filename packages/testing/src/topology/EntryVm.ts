/** An entry VM of a system on loopback. */
export interface EntryVm {
    name: string;
    zone: string;
    /** IP address. */
    address: string;
    router: DaemonEndpoint;
    controller: DaemonEndpoint;
}

interface DaemonEndpoint {
    /** Process name. */
    name: string;
    /** Base URL for health checks and, at routers, callers. */
    url: string;
    /** Base URL of the peer interface. */
    peerUrl: string;
}

import type { Transport } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";

interface PeerTransportOptions {
    /** HOST:PORT of the peer. */
    address: string;
    isInSameZone: boolean;
    /** Interval of the pings that show that the connection is alive, and the time for their response; none by default. */
    pingMs?: number;
}

/**
 * Creates a transport to another gateway. Messages within a zone are not compressed: a hub would compress each one for
 * every gateway of its zone. Traffic between zones is billed.
 */
export function createPeerTransport({ address, isInSameZone, pingMs }: PeerTransportOptions): Transport {
    return createGrpcTransport({
        baseUrl: `http://${address}`,
        ...(isInSameZone && { acceptCompression: [] }),
        ...(pingMs !== undefined && { pingIntervalMs: pingMs, pingTimeoutMs: pingMs }),
    });
}

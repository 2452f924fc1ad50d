import type { DescService } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { Peer } from "../Peer.js";

/** Clients of other processes' services. */
export interface PeerClients {
    /** Returns a client of a peer's service. Connections are shared and opened on first use. */
    get<S extends DescService>(service: S, peer: Peer): Client<S>;

    /** Makes the next call to a silent peer open a new connection; calls in progress keep the old one. */
    abandon(peer: Peer): void;
}

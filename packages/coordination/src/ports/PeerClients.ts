import type { DescService } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { Peer } from "../Peer.js";

/** Clients of other processes' services. */
export interface PeerClients {
    /** A client of a peer's service; connections are shared and dialled when first needed. */
    get<S extends DescService>(service: S, peer: Peer): Client<S>;

    /** Lets the next call to a peer that went silent dial a new connection; calls in progress keep the old one. */
    abandon(peer: Peer): void;
}

import type { DescService } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { Peer } from "../Peer.js";

/** Typed clients for the other processes of the system. */
export interface PeerClients {
    /** A client of a peer's service. Clients of one peer share a connection. */
    get<S extends DescService>(service: S, peer: Peer): Client<S>;
}

import type { Peer } from "@fescuehaven/coordination";

/** A slot at a peer router, to which a call is forwarded. */
export interface PeerSlot {
    kind: "peer";
    peer: Peer;
    /** Releases the slot; with `pauseMs`, calls of this pool are not forwarded to the peer for that long. */
    release(pauseMs?: number): void;
}

import type { Peer } from "@fescuehaven/coordination";

/** A router of another availability zone that is to serve a call. */
export interface PeerSlot {
    kind: "peer";
    peer: Peer;
    /** Ends the call's count at the peer; with a time, the peer is left alone that long for this pool. */
    release(pauseMs?: number): void;
}

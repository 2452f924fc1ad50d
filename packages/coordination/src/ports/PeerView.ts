import type { Peer } from "../Peer.js";

/** The other processes of the system, as this one knows them. */
export interface PeerView {
    /** Every known peer, this process left out. */
    list(): readonly Peer[];
}

import type { Peer } from "../Peer.js";

/** The other processes known to this one. The list may be out of date and contain processes that no longer exist. */
export interface PeerView {
    /** Returns all peers except this process, sorted by name. */
    list(): readonly Peer[];
}

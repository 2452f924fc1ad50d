import type { Peer } from "../Peer.js";

/** The other processes that this one knows of. A view only: it may lag, and processes in it may be gone. */
export interface PeerView {
    /** All peers, by name, without this process. */
    list(): readonly Peer[];
}

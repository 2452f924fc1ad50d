import type { Peer } from "@fescuehaven/coordination";
import type { EventFilter, StampedEvent } from "@fescuehaven/telemetry";

/** Reads what a process holds. Undefined: it did not answer in time. */
export interface ProcessReader {
    /** Its time line. */
    events(peer: Peer, filter: EventFilter): Promise<{ events: StampedEvent[]; dropped: number; } | undefined>;

    /** Its state. */
    state(peer: Peer): Promise<{ configurationRevision: number; state: Record<string, unknown>; } | undefined>;
}

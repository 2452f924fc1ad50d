import type { Peer } from "@fescuehaven/coordination";
import type { EventFilter, StampedEvent } from "@fescuehaven/telemetry";

/** Reads the timeline and state of a process. Methods return undefined if the process did not respond in time. */
export interface ProcessReader {
    /** Returns the process's timeline and the number of events that it had already discarded. */
    events(peer: Peer, filter: EventFilter): Promise<{ events: StampedEvent[]; dropped: number; } | undefined>;

    /** Returns the process's state and the revision of its active configuration. */
    state(peer: Peer): Promise<{ configurationRevision: number; state: Record<string, unknown>; } | undefined>;
}

import type { Peer } from "@fescuehaven/coordination";
import type { ForwardedGeneration } from "../generation/ForwardedGeneration.js";
import type { StreamEvent } from "../generation/StreamEvent.js";
import type { ForwardedServiceCall } from "../services/ForwardedServiceCall.js";
import type { ServiceOutcome } from "../services/ServiceOutcome.js";

/** Forwards calls to a peer router, which serves them in its availability zone. Never throws. */
export interface ZoneForwarder {
    /** Starts a generation at the peer; the stream ends with `done`, `refused` or `broken`. */
    generate(peer: Peer, call: ForwardedGeneration, signal: AbortSignal): AsyncIterable<StreamEvent>;

    /** Sends a plain service call without retries. */
    callService(peer: Peer, call: ForwardedServiceCall, signal: AbortSignal): Promise<ServiceOutcome>;

    /** Makes the next call to an unresponsive peer use a new connection. */
    abandon(peer: Peer): void;
}

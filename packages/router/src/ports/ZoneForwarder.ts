import type { Peer } from "@fescuehaven/coordination";
import type { ForwardedGeneration } from "../generation/ForwardedGeneration.js";
import type { StreamEvent } from "../generation/StreamEvent.js";
import type { ForwardedServiceCall } from "../services/ForwardedServiceCall.js";
import type { ServiceOutcome } from "../services/ServiceOutcome.js";

/** Hands calls to another router, which serves them from its own availability zone. Never throws. */
export interface ZoneForwarder {
    /** Starts a generation there; the stream ends with `done`, `refused` or `broken`. */
    generate(peer: Peer, call: ForwardedGeneration, signal: AbortSignal): AsyncIterable<StreamEvent>;

    /** Sends a plain service call once. */
    callService(peer: Peer, call: ForwardedServiceCall, signal: AbortSignal): Promise<ServiceOutcome>;

    /** Lets the next call to a peer that went silent use a new connection. */
    abandon(peer: Peer): void;
}

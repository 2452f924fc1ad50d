import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { ServingConfiguration } from "./model/ServingConfiguration.js";
import type { Upstream } from "./model/Upstream.js";
import type { DecisionLog } from "./ports/DecisionLog.js";
import type { GatewayMetrics } from "./ports/GatewayMetrics.js";
import type { UpstreamClient } from "./ports/UpstreamClient.js";
import type { UpstreamControl } from "./ports/UpstreamControl.js";

/** Result of decoding an object from the store. */
type Decoded<T> = { kind: "decoded"; value: T; } | { kind: "invalid"; reason: string; };

/** External dependencies of a gateway. */
export interface GatewayPorts {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    metrics: GatewayMetrics;
    store: ObjectStore;
    client: UpstreamClient;
    control: UpstreamControl;
    /** Kinds, names and decoders of the objects that operators and upstreams write to the store. */
    objects: {
        configuration: { kind: string; name: string; decode: (value: unknown) => Decoded<ServingConfiguration>; };
        upstreams: { kind: string; decode: (id: string, value: unknown, nowMs: number) => Decoded<Upstream>; };
        /** One object for each zone that operators have evacuated; the object has the zone's name. */
        evacuations: { kind: string; };
    };
}

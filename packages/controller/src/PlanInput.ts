import type { PlacementPolicy } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import type { ModelVersion, ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import type { ZoneFleet } from "./ZoneFleet.js";

/** What a plan of the zone's claims rests on. */
export interface PlanInput {
    ledger: ZoneLedger;
    /** Serving groups of this zone, in order of name. */
    specs: ReadonlyArray<StoredObject<ServingGroup>>;
    fleet: ZoneFleet;
    place: PlacementPolicy;
    modelVersion: (name: string) => ModelVersion | undefined;
    /** Whether there is fresh evidence of all members at the group's epoch. */
    isServing: (group: string) => boolean;
    /** Whether a closed group has no request left. */
    isDrained: (group: string) => boolean;
    /** Whether the VM was seen unloaded after the release with this epoch. */
    isUnloaded: (vm: string, epoch: number) => boolean;
    /** Highest fencing number that an engine has named in a refusal; 0 without one. */
    highestFence: (vm: string) => number;
}

import type { PlacementPolicy } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import type { ModelVersion, ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import type { ZoneFleet } from "./ZoneFleet.js";

/** Input of `planZone`. */
export interface PlanInput {
    ledger: ZoneLedger;
    /** Serving groups of this zone, in order of name. */
    specs: ReadonlyArray<StoredObject<ServingGroup>>;
    fleet: ZoneFleet;
    place: PlacementPolicy;
    modelVersion: (name: string) => ModelVersion | undefined;
    /** Whether there is fresh evidence of all members at the group's epoch. */
    isServing: (group: string) => boolean;
    /** Whether the requests of a closed group have ended, or the time allowed for them is over. */
    isDrained: (group: string) => boolean;
    /** Whether the VM reported that it was empty after it had accepted the unload order with this epoch. */
    isUnloaded: (vm: string, epoch: number) => boolean;
    /** Highest fencing token that the VM's engine has reported in a refusal; 0 if it has not refused an order. */
    highestFence: (vm: string) => number;
}

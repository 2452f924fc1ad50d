import type { FreeVm } from "./FreeVm.js";
import type { Placement } from "./Placement.js";

/** Chooses `count` of the free VMs for a group; returns undefined if there are too few. */
export type PlacementPolicy = (free: readonly FreeVm[], count: number) => Placement | undefined;

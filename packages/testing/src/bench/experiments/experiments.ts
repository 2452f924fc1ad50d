import type { Experiment } from "../Experiment.js";
import { groupDowntime } from "./groupDowntime.js";
import { routerOverhead } from "./routerOverhead.js";
import { zoneMove } from "./zoneMove.js";

/** All experiments by name. */
export const experiments: Record<string, Experiment> = {
    "group-downtime": groupDowntime,
    "router-overhead": routerOverhead,
    "zone-move": zoneMove,
};

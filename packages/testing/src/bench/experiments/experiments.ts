import type { Experiment } from "../Experiment.js";
import { chaos } from "./chaos.js";
import { configSpread } from "./configSpread.js";
import { controlCost } from "./controlCost.js";
import { groupDowntime } from "./groupDowntime.js";
import { keyedCalls } from "./keyedCalls.js";
import { overload } from "./overload.js";
import { routerOverhead } from "./routerOverhead.js";
import { zoneMove } from "./zoneMove.js";

/** All experiments by name. */
export const experiments: Record<string, Experiment> = {
    chaos,
    "config-spread": configSpread,
    "control-cost": controlCost,
    "group-downtime": groupDowntime,
    "keyed-calls": keyedCalls,
    overload,
    "router-overhead": routerOverhead,
    "zone-move": zoneMove,
};

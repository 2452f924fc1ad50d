import type { Clock } from "@fescuehaven/runtime";
import type { RunningSystem } from "../system/RunningSystem.js";
import type { ChaosState } from "./ChaosState.js";

/** What a handler of a fault works with. */
export interface FaultContext {
    system: RunningSystem;
    clock: Clock;
    state: ChaosState;
}

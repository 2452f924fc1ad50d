import type { Clock } from "@fescuehaven/runtime";
import type { RunningSystem } from "../system/RunningSystem.js";
import type { ChaosState } from "./ChaosState.js";

/** The system, clock and shared state that a fault handler uses. */
export interface FaultContext {
    system: RunningSystem;
    clock: Clock;
    state: ChaosState;
}

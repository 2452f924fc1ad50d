import { createZoneTrace } from "./createZoneTrace.js";
import { SimulatedZone } from "./SimulatedZone.js";
import { sparePolicies } from "./sparePolicies.js";
import type { SpareResult } from "./SpareResult.js";
import type { SpareScenario } from "./SpareScenario.js";

/** Runs the same failure trace with each policy. */
export function simulateSpares(scenario: SpareScenario): SpareResult[] {
    const trace = createZoneTrace(scenario);
    return sparePolicies.map(policy => SimulatedZone.create({ scenario, policy, trace }).run());
}

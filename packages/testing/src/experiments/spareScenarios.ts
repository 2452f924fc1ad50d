import type { SpareScenario } from "./SpareScenario.js";

const common = { acceleratorsPerVm: 8, days: 60 };

/** Returns two scenarios: an availability zone of today's size, and one of the size expected in two years. */
export function spareScenarios(seed: number): SpareScenario[] {
    return [
        {
            ...common,
            name: "22 VMs, groups of 2 to 6",
            domains: { d1: 8, d2: 8, d3: 6 },
            groupSizes: [4, 4, 6],
            changingSizes: [2, 3, 4],
            seed,
        },
        {
            ...common,
            name: "100 VMs, groups of 4 to 32",
            domains: { d1: 36, d2: 34, d3: 30 },
            groupSizes: [8, 8, 32, 32],
            changingSizes: [4, 6, 8],
            seed,
        },
    ];
}

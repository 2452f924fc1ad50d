import type { Workload } from "../../src/callers/Workload.js";
import { RunningSystem } from "../../src/system/RunningSystem.js";
import { Traffic } from "../../src/system/Traffic.js";
import { systemTestOptions } from "./systemTestOptions.js";

type SystemOptions = Partial<Parameters<typeof RunningSystem.start>[0]>;

/** A running system for all tests of a suite; traffic is stopped after the test that started it. */
interface SystemUnderTest {
    /** The system, available from the first test on; throws before. */
    readonly system: RunningSystem;
    /** Starts sending calls to the system. */
    startTraffic(seed: number, workload?: Partial<Workload>): Promise<Traffic>;
}

/** Starts a system before the tests of the enclosing suite and stops it after them. */
export function useSystem(options: SystemOptions = {}): SystemUnderTest {
    let system: RunningSystem | undefined;
    let traffic: Traffic | undefined;

    before(async () => {
        system = await RunningSystem.start({ ...systemTestOptions, ...options });
        await system.untilPhase("ready");
    });

    afterEach(async () => traffic?.abort());

    after(async () => system?.stop());

    return {
        get system() {
            if (!system) {
                throw new Error("The system has not started.");
            }
            return system;
        },
        startTraffic: async (seed, workload) => {
            if (!system) {
                throw new Error("The system has not started.");
            }
            traffic = await Traffic.start({ system, clock: systemTestOptions.clock, seed, workload });
            return traffic;
        },
    };
}

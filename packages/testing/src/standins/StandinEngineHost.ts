import type { Clock, Random } from "@fescuehaven/runtime";
import { SeededRandom } from "../fakes/SeededRandom.js";
import type { EngineProcessSettings } from "./EngineProcessSettings.js";
import { StandinEngine } from "./StandinEngine.js";
import { WeightStore } from "./WeightStore.js";

/** The engines of several VMs in one process. Each has its own address; all share one weight store. */
export class StandinEngineHost {
    private constructor(private readonly engines: readonly StandinEngine[]) {}

    /** Creates the engines; they accept connections once `listen` is called. */
    static create(options: {
        settings: EngineProcessSettings;
        clock: Clock;
        /** Source of unique boot ids. */
        identities: Random;
    }): StandinEngineHost {
        const { settings, clock, identities } = options;
        const weights = WeightStore.create(clock, settings.weightStoreGiBPerSecond);
        const random = SeededRandom.create(settings.seed);
        const engines = settings.vms.map(vm =>
            StandinEngine.create({ vm, behaviour: settings.behaviour, weights, clock, random, identities })
        );
        return new StandinEngineHost(engines);
    }

    /** Starts listening and returns the base URLs, separated by commas. */
    async listen(): Promise<string> {
        const urls = await Promise.all(this.engines.map(engine => engine.listen()));
        return urls.join(",");
    }

    /** Stops listening and closes open connections. */
    async close(): Promise<void> {
        await Promise.all(this.engines.map(engine => engine.close()));
    }
}

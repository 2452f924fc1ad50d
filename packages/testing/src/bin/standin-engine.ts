import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { engineProcessSettingsSchema } from "../standins/EngineProcessSettings.js";
import { runStandin } from "../standins/runStandin.js";
import { StandinEngineHost } from "../standins/StandinEngineHost.js";

await runStandin(
    "standin-engine",
    engineProcessSettingsSchema,
    settings => StandinEngineHost.create({ settings, clock: SystemClock.create(), identities: SystemRandom.create() }),
);

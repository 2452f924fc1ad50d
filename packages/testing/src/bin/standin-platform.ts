import { SystemClock } from "@fescuehaven/runtime";
import { platformSettingsSchema } from "../standins/PlatformSettings.js";
import { runStandin } from "../standins/runStandin.js";
import { StandinPlatform } from "../standins/StandinPlatform.js";

await runStandin(
    "standin-platform",
    platformSettingsSchema,
    settings => StandinPlatform.create({ settings, clock: SystemClock.create() }),
);

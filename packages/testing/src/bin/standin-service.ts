import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { runStandin } from "../standins/runStandin.js";
import { serviceSettingsSchema } from "../standins/ServiceSettings.js";
import { StandinService } from "../standins/StandinService.js";

await runStandin(
    "standin-service",
    serviceSettingsSchema,
    settings => StandinService.create({ settings, clock: SystemClock.create(), random: SystemRandom.create() }),
);

import { controllerSettingsSchema } from "@fescuehaven/controller";
import { routerSettingsSchema } from "@fescuehaven/router";
import { cliConfigurationSchema } from "./CliConfiguration.js";

/** The schema of each binary's settings file. */
export const settingsSchemas = {
    "fescue-router": routerSettingsSchema,
    "fescue-controller": controllerSettingsSchema,
    fescue: cliConfigurationSchema,
} as const;

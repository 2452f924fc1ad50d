import { controllerSettingsSchema } from "@fescuehaven/controller";
import { routerSettingsSchema } from "@fescuehaven/router";
import { cliConfigurationSchema } from "./CliConfiguration.js";

/** Schemas of the settings files, by binary. */
export const settingsSchemas = {
    "fescue-router": routerSettingsSchema,
    "fescue-controller": controllerSettingsSchema,
    fescue: cliConfigurationSchema,
} as const;

export { cliConfigurationSchema } from "./CliConfiguration.js";
export { renderSettingsPage } from "./renderSettingsPage.js";
export { runCli } from "./runCli.js";

export { cliConfigurationSchema } from "./CliConfiguration.js";
export { runCli } from "./runCli.js";

export { type DaemonSettings, daemonSettingsSchema } from "./DaemonSettings.js";

export { SystemClock } from "./adapters/SystemClock.js";
export { SystemRandom } from "./adapters/SystemRandom.js";
export { loadSettings } from "./loadSettings.js";
export type { Clock } from "./ports/Clock.js";
export type { Random } from "./ports/Random.js";
export type { SchemaError } from "./SchemaError.js";
export type { SettingsOutcome } from "./SettingsOutcome.js";
export { describeSchemaErrors } from "./util/describeSchemaErrors.js";
export { waitUntilSocketsRead } from "./util/waitUntilSocketsRead.js";

export { type ControllerSettings, controllerSettingsSchema } from "./ControllerSettings.js";
export type { ControllerTimings } from "./ControllerTimings.js";
export { defaultControllerTimings } from "./defaultControllerTimings.js";
export type { PlanInput } from "./PlanInput.js";
export { planZone } from "./planZone.js";
export { ZoneController } from "./ZoneController.js";
export { ZoneFleet } from "./ZoneFleet.js";

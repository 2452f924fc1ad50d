export type { EventRecorder } from "./ports/EventRecorder.js";
export type { Logger } from "./ports/Logger.js";
export type { Metrics } from "./ports/Metrics.js";
export type { TimelineEvent } from "./TimelineEvent.js";
export type { TimelineEventKind } from "./TimelineEventKind.js";

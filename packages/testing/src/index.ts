export { ManualClock } from "./fakes/ManualClock.js";
export { MemoryEngines } from "./fakes/MemoryEngines.js";
export { MemoryEventRecorder } from "./fakes/MemoryEventRecorder.js";
export { MemoryNetwork } from "./fakes/MemoryNetwork.js";
export { MemoryObjectStore } from "./fakes/MemoryObjectStore.js";
export { SeededRandom } from "./fakes/SeededRandom.js";
export { SilentLogger } from "./fakes/SilentLogger.js";
export { SilentMetrics } from "./fakes/SilentMetrics.js";
export type { StoreFaults } from "./fakes/StoreFaults.js";

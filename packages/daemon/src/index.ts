export { HealthServer } from "./adapters/HealthServer.js";
export { hybridClockInterceptor } from "./adapters/hybridClockInterceptor.js";
export { IntrospectionHandler } from "./adapters/IntrospectionHandler.js";
export { PeerServer } from "./adapters/PeerServer.js";
export { DaemonContext } from "./DaemonContext.js";
export { DaemonError } from "./DaemonError.js";
export { type DaemonSettings, daemonSettingsSchema } from "./DaemonSettings.js";
export { runDaemon } from "./runDaemon.js";

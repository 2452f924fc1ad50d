import type { SchemaFault } from "./SchemaFault.js";

/** Result of reading a settings file. */
export type SettingsOutcome<T> =
    | { kind: "loaded"; settings: T; }
    | { kind: "invalid"; faults: SchemaFault[]; };

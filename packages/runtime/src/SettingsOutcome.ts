import type { SchemaError } from "./SchemaError.js";

/** Result of reading a settings file. */
export type SettingsOutcome<T> =
    | { kind: "loaded"; settings: T; }
    | { kind: "invalid"; errors: SchemaError[]; };

import type { resourceSchemas } from "./resourceSchemas.js";

/** Kind of an object that the system keeps in the platform. */
export type ResourceKind = keyof typeof resourceSchemas;

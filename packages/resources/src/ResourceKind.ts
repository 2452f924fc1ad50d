import type { resourceSchemas } from "./resourceSchemas.js";

/** Kind of an object in the platform. */
export type ResourceKind = keyof typeof resourceSchemas;

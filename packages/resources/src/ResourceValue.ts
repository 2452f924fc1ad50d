import type { z } from "zod";
import type { ResourceKind } from "./ResourceKind.js";
import type { resourceSchemas } from "./resourceSchemas.js";

/** Value of an object of kind `K`. */
export type ResourceValue<K extends ResourceKind> = z.infer<(typeof resourceSchemas)[K]>;

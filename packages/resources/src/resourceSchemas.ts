import type { z } from "zod";
import { clientAccountSchema } from "./ClientAccount.js";
import { groupStatusSchema } from "./GroupStatus.js";
import { maintenanceIntentSchema } from "./MaintenanceIntent.js";
import { modelVersionSchema } from "./ModelVersion.js";
import { routeSchema } from "./Route.js";
import { serviceSchema } from "./Service.js";
import { servingGroupSchema } from "./ServingGroup.js";
import { zoneLeaseSchema } from "./ZoneLease.js";
import { zoneLedgerSchema } from "./ZoneLedger.js";

/** Schemas of all objects that the system keeps in the platform, by kind, except journal shards. */
export const resourceSchemas = {
    "model-version": modelVersionSchema,
    "serving-group": servingGroupSchema,
    service: serviceSchema,
    route: routeSchema,
    "client-account": clientAccountSchema,
    "maintenance-intent": maintenanceIntentSchema,
    "zone-ledger": zoneLedgerSchema,
    "zone-lease": zoneLeaseSchema,
    "group-status": groupStatusSchema,
} as const satisfies Record<string, z.ZodType>;

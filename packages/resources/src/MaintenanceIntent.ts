import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** An operator's purpose to take something out of service. It stands until the object is removed. */
export const maintenanceIntentSchema = z.strictObject({
    target: z.strictObject({
        kind: z.enum(["vm", "fabric-domain", "availability-zone"]),
        name: resourceNameSchema,
    }),
    /** Why, for other operators and auditors. */
    reason: z.string().min(1).max(500),
    /** Who asked. */
    requestedBy: z.string().min(1).max(100),
});

/** An operator's purpose to take something out of service. */
export type MaintenanceIntent = z.infer<typeof maintenanceIntentSchema>;

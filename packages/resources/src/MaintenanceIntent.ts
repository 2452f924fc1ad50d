import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** Schema of an operator's request to take the target out of service. It applies until the object is removed. */
export const maintenanceIntentSchema = z.strictObject({
    target: z.strictObject({
        kind: z.enum(["vm", "fabric-domain", "availability-zone"]),
        name: resourceNameSchema,
    }),
    /** Why the target is out of service, for other operators and auditors. */
    reason: z.string().min(1).max(500),
    /** Who requested it. */
    requestedBy: z.string().min(1).max(100),
});

/** An operator's request to take the target out of service. */
export type MaintenanceIntent = z.infer<typeof maintenanceIntentSchema>;

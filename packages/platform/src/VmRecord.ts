import { z } from "zod";

/** Schema of a VM in the platform's list, which lags behind the actual state. */
export const vmRecordSchema = z.object({
    name: z.string(),
    region: z.string(),
    zone: z.string(),
    fabricDomain: z.string(),
    /** `entry` VMs run this system's processes; `engine` VMs run model engines. */
    role: z.enum(["entry", "engine"]),
    /** IP address. */
    address: z.string(),
    /** Port of the engine's HTTP interface; 0 on entry VMs. */
    enginePort: z.number().int().min(0).max(65_535),
    accelerators: z.number().int().nonnegative(),
    state: z.enum(["live", "leaving"]),
});

/** A VM in the platform's list, which lags behind the actual state. */
export type VmRecord = z.infer<typeof vmRecordSchema>;

import { z } from "zod";

/** What a system on loopback consists of. */
export const topologyOptionsSchema = z.strictObject({
    /** Second octet of all addresses. */
    octet: z.number().int().min(1).max(254),
    /** Port of the platform; all other ports follow it. */
    basePort: z.number().int().min(1024).max(60_000),
    region: z.string().default("koper"),
    zones: z.array(z.string()).min(1).max(9).default(["zone-a", "zone-b", "zone-c"]),
    /** Entry VMs of each zone, each with a router and a controller. */
    entryVmsPerZone: z.number().int().min(1).max(40).default(2),
    /** Engine VMs of each zone. */
    engineVmsPerZone: z.number().int().min(0).max(200).default(6),
    vmsPerFabricDomain: z.number().int().min(1).default(3),
    /** One process hosts the engines of all VMs, of a zone's VMs, or of one VM. */
    engineProcesses: z.enum(["one", "zone", "vm"]).default("zone"),
    /** Behaviour of the engines; fields left out have their default. */
    engineBehaviour: z.record(z.string(), z.unknown()).default({}),
    weightStoreGiBPerSecond: z.number().positive().default(20),
    /** Further settings of the platform's stand-in. */
    platform: z.record(z.string(), z.unknown()).default({}),
    /** Further settings of the service's stand-ins. */
    service: z.record(z.string(), z.unknown()).default({}),
    /** Further settings of every router. */
    router: z.record(z.string(), z.unknown()).default({}),
    /** Further settings of every controller. */
    controller: z.record(z.string(), z.unknown()).default({}),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** What a system on loopback consists of. */
export type TopologyOptions = z.infer<typeof topologyOptionsSchema>;

import { z } from "zod";

/** Schema of the size and settings of a system on loopback. */
export const topologyOptionsSchema = z.strictObject({
    /** Second octet of all IP addresses. */
    octet: z.number().int().min(1).max(254),
    /** Port of the platform; the other ports are offsets from it. */
    basePort: z.number().int().min(1024).max(60_000),
    region: z.string().default("koper"),
    zones: z.array(z.string()).min(1).max(9).default(["zone-a", "zone-b", "zone-c"]),
    /** Number of entry VMs in each zone, each with a router and a controller. */
    entryVmsPerZone: z.number().int().min(1).max(40).default(2),
    /** Number of engine VMs in each zone. */
    engineVmsPerZone: z.number().int().min(0).max(200).default(6),
    vmsPerFabricDomain: z.number().int().min(1).default(3),
    /** Whether one process hosts the engines of all VMs, those of a zone's VMs, or the engine of one VM. */
    engineProcesses: z.enum(["one", "zone", "vm"]).default("zone"),
    /** Behaviour of the engines; omitted fields have their defaults. */
    engineBehaviour: z.record(z.string(), z.unknown()).default({}),
    weightStoreGiBPerSecond: z.number().positive().default(20),
    /** Additional settings of the platform's stand-in. */
    platform: z.record(z.string(), z.unknown()).default({}),
    /** Additional settings of the service's stand-ins. */
    service: z.record(z.string(), z.unknown()).default({}),
    /** Additional settings of every router. */
    router: z.record(z.string(), z.unknown()).default({}),
    /** Additional settings of every controller. */
    controller: z.record(z.string(), z.unknown()).default({}),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Size and settings of a system on loopback. */
export type TopologyOptions = z.infer<typeof topologyOptionsSchema>;

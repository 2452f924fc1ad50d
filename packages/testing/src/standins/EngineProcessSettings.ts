import { z } from "zod";
import { engineBehaviourSchema } from "./EngineBehaviour.js";

const vmSchema = z.strictObject({
    /** Name of the VM in the platform's list. */
    name: z.string().min(1),
    /** IP address that the engine listens on and calls other members from. */
    host: z.union([z.ipv4(), z.ipv6()]),
    /** 0 picks a free port. */
    port: z.number().int().min(0).max(65_535),
});

/** Settings of a process that hosts the engines of one or more VMs. */
export const engineProcessSettingsSchema = z.strictObject({
    vms: z.array(vmSchema).min(1),
    /** Read rate of the weight store that all VMs of this process share. */
    weightStoreGiBPerSecond: z.number().positive().default(20),
    /** Seed of the random variation. */
    seed: z.number().int().default(1),
    behaviour: engineBehaviourSchema.prefault({}),
});

/** Settings of a process that hosts the engines of one or more VMs. */
export type EngineProcessSettings = z.infer<typeof engineProcessSettingsSchema>;

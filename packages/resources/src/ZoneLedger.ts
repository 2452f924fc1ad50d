import { z } from "zod";

/** One VM's claim. */
const claimSchema = z.strictObject({
    group: z.string(),
    /** Fencing number of every order for this claim; unique in the zone. */
    epoch: z.number().int().positive(),
    /** Position in the group; rank 0 takes the requests. */
    rank: z.number().int().min(0),
    /** `held`: the member serves or loads. `releasing`: to be unloaded, not yet free. */
    state: z.enum(["held", "releasing"]),
});

const formationFields = {
    /** Fencing number of the orders that form it. */
    epoch: z.number().int().positive(),
    modelVersion: z.string(),
    /** Fabric domain of its members; several joined by "+" where it spans more than one. */
    fabricDomain: z.string(),
    /** VM names by rank; empty where the member has left and none has taken its place. */
    members: z.array(z.string()),
    /** Base URLs of the members' engines by rank, as every load order of this epoch names them. */
    memberUrls: z.array(z.string()).optional(),
};

/** Every claim on the VMs of one availability zone. Changed only by conditional update. */
export const zoneLedgerSchema = z.strictObject({
    /** Unique id of the update that wrote this value; settles updates whose answer was lost. */
    nonce: z.string(),
    /** Fencing number of the zone lease under which it was written. */
    leaseFence: z.number().int().nonnegative(),
    /** Highest epoch ever given in this zone. */
    lastEpoch: z.number().int().nonnegative(),
    /** Claims by VM name. */
    claims: z.record(z.string(), claimSchema),
    /** Groups by name: their epoch and what they serve. */
    groups: z.record(
        z.string(),
        z.strictObject({
            ...formationFields,
            /** Formation that loads beside the one in service and will take its place. Takes no requests. */
            next: z.strictObject(formationFields).optional(),
        }),
    ),
});

/** Every claim on the VMs of one availability zone. */
export type ZoneLedger = z.infer<typeof zoneLedgerSchema>;

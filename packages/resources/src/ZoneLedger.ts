import { z } from "zod";

/** One VM's claim. */
const claimSchema = z.strictObject({
    group: z.string(),
    /** Fencing token of every order for this claim; unique in the zone to one formation or release. */
    epoch: z.number().int().positive(),
    /** Position in the group; the member of rank 0 receives the requests. */
    rank: z.number().int().min(0),
    /** `held`: the member serves or loads. `releasing`: the member has to be unloaded and is not free yet. */
    state: z.enum(["held", "releasing"]),
});

const formationFields = {
    /** Fencing token of the load orders for this formation. */
    epoch: z.number().int().positive(),
    modelVersion: z.string(),
    /** Fabric domain of the members; joined by "+" if they are in several domains. */
    fabricDomain: z.string(),
    /** VM names by rank; an empty string if the member has left and has not been replaced. */
    members: z.array(z.string()),
    /** Base URLs of the members' engines by rank, as in every load order of this epoch. */
    memberUrls: z.array(z.string()).optional(),
};

/** Schema of the ledger: all claims on the VMs of one availability zone. Changed only by conditional updates. */
export const zoneLedgerSchema = z.strictObject({
    /** Unique id of the update that wrote this value; used to resolve updates whose response was lost. */
    nonce: z.string(),
    /** Fencing token of the zone lease under which this value was written. */
    leaseFence: z.number().int().nonnegative(),
    /** Highest epoch that was ever assigned in this zone. */
    lastEpoch: z.number().int().nonnegative(),
    /** Claims by VM name. */
    claims: z.record(z.string(), claimSchema),
    /** Current formation of each group, by group name. */
    groups: z.record(
        z.string(),
        z.strictObject({
            ...formationFields,
            /** Formation that loads beside the current one and will replace it. It receives no requests. */
            next: z.strictObject(formationFields).optional(),
        }),
    ),
});

/** All claims on the VMs of one availability zone. */
export type ZoneLedger = z.infer<typeof zoneLedgerSchema>;

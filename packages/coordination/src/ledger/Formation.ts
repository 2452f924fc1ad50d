import type { ZoneLedger } from "@fescuehaven/resources";

/** The VMs of a group by rank and what they serve, at one epoch. */
export type Formation = NonNullable<ZoneLedger["groups"][string]["next"]>;

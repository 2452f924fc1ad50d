import type { ZoneLedger } from "@fescuehaven/resources";

/** Members of a group by rank and the model version that they serve, at one epoch. */
export type Formation = NonNullable<ZoneLedger["groups"][string]["next"]>;

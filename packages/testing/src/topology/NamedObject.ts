import type { ResourceKind } from "@fescuehaven/resources";

/** An object to be written to the platform, without a revision. */
export interface NamedObject {
    kind: ResourceKind;
    name: string;
    value: object;
}

import type { ResourceKind } from "@fescuehaven/resources";

/** An object as operators write it, without a revision. */
export interface NamedObject {
    kind: ResourceKind;
    name: string;
    value: object;
}

import type { StoredObject } from "@fescuehaven/platform";
import type { ResourceKind, ResourceValue } from "@fescuehaven/resources";

/** The configuration in force in this process: the kinds of `replicatedKinds`. Reads are synchronous and cheap. */
export interface ConfigurationView {
    /** Changes with every adopted object; starts at 0 and says nothing to other processes. */
    readonly version: number;

    /** False until a first whole listing came from the platform or from a peer. */
    readonly complete: boolean;

    /** The object in force, or undefined. */
    get<K extends ResourceKind>(kind: K, name: string): StoredObject<ResourceValue<K>> | undefined;

    /** All objects of a kind in force, by name. */
    list<K extends ResourceKind>(kind: K): ReadonlyArray<StoredObject<ResourceValue<K>>>;

    /** Resolves once `version` differs from `seen`, or when `signal` aborts. */
    changed(seen: number, signal: AbortSignal): Promise<void>;
}

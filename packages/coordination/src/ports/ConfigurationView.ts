import type { StoredObject } from "@fescuehaven/platform";
import type { ResourceKind, ResourceValue } from "@fescuehaven/resources";

/** The active configuration of this process: objects of `replicatedKinds`. Reads are synchronous and cheap. */
export interface ConfigurationView {
    /** Changes with every adopted object or removal. Starts at 0 and is meaningful only in this process. */
    readonly version: number;

    /** False until a first complete listing was received from the platform or from a peer. */
    readonly complete: boolean;

    /** Returns the active object, or undefined. */
    get<K extends ResourceKind>(kind: K, name: string): StoredObject<ResourceValue<K>> | undefined;

    /** Returns all active objects of a kind, sorted by name. */
    list<K extends ResourceKind>(kind: K): ReadonlyArray<StoredObject<ResourceValue<K>>>;

    /** Resolves once `version` differs from `seen`, or when `signal` aborts. */
    changed(seen: number, signal: AbortSignal): Promise<void>;
}

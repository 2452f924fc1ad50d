import type { ConfigurationView } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import type { ResourceKind, ResourceValue } from "@fescuehaven/resources";

/** A configuration that a test changes directly. */
export class MemoryConfiguration implements ConfigurationView {
    version = 0;
    complete = true;
    private readonly objects = new Map<string, StoredObject>();

    private constructor() {}

    static create(): MemoryConfiguration {
        return new MemoryConfiguration();
    }

    put<K extends ResourceKind>(kind: K, name: string, value: ResourceValue<K>): void {
        this.version += 1;
        this.objects.set(`${kind}/${name}`, { kind, name, revision: this.version, value });
    }

    remove(kind: ResourceKind, name: string): void {
        this.version += 1;
        this.objects.delete(`${kind}/${name}`);
    }

    get<K extends ResourceKind>(kind: K, name: string): StoredObject<ResourceValue<K>> | undefined {
        return this.objects.get(`${kind}/${name}`) as StoredObject<ResourceValue<K>> | undefined;
    }

    list<K extends ResourceKind>(kind: K): ReadonlyArray<StoredObject<ResourceValue<K>>> {
        return [...this.objects.values()].filter(object => object.kind === kind) as Array<
            StoredObject<ResourceValue<K>>
        >;
    }

    async changed(): Promise<void> {}
}

import type { ConfigurationView } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import type { ResourceKind, ResourceValue } from "@fescuehaven/resources";

/** The active configuration objects, set by a test. */
export class FakeConfiguration implements ConfigurationView {
    /** Grows by one with every change. */
    version = 0;
    /** Whether the configuration is complete; a test may set it to false. */
    complete = true;

    private readonly objects = new Map<string, StoredObject>();
    private waiters: Array<() => void> = [];

    private constructor() {}

    /** Creates an empty configuration. */
    static create(): FakeConfiguration {
        return new FakeConfiguration();
    }

    /** Adds or replaces an object; its revision is the new version unless given. */
    put<K extends ResourceKind>(kind: K, name: string, value: ResourceValue<K>, revision = this.version + 1): void {
        this.objects.set(`${kind}/${name}`, { kind, name, revision, value });
        this.recordChange();
    }

    /** Removes an object. */
    remove(kind: ResourceKind, name: string): void {
        this.objects.delete(`${kind}/${name}`);
        this.recordChange();
    }

    /** Returns the active object, or undefined if there is none. */
    get<K extends ResourceKind>(kind: K, name: string): StoredObject<ResourceValue<K>> | undefined {
        return this.objects.get(`${kind}/${name}`) as StoredObject<ResourceValue<K>> | undefined;
    }

    /** Returns all objects of a kind, sorted by name. */
    list<K extends ResourceKind>(kind: K): ReadonlyArray<StoredObject<ResourceValue<K>>> {
        const objects = [...this.objects.values()].filter(object => object.kind === kind);
        return objects.sort((left, right) => left.name < right.name ? -1 : 1) as Array<StoredObject<ResourceValue<K>>>;
    }

    /** Resolves once the version differs from `seen`, or when `signal` aborts. */
    changed(seen: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal.aborted || seen !== this.version) {
                resolve();
                return;
            }
            signal.addEventListener("abort", () => resolve(), { once: true });
            this.waiters.push(resolve);
        });
    }

    private recordChange(): void {
        this.version += 1;
        const woken = this.waiters;
        this.waiters = [];
        woken.forEach(wake => wake());
    }
}

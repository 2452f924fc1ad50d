import { type Client, createClient } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import type {
    CallClass,
    ListOutcome,
    ObjectChange,
    ObjectKey,
    ObjectStore,
    ReadOutcome,
    Revision,
    StoredObject,
    UpdateOutcome,
    WatchOutcome,
} from "@fescuehaven/platform";
import { type ObjectMessage, ViewService } from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";

/** What a `HubObjectStore` is made of. */
interface HubObjectStoreOptions {
    clock: Clock;
    /** The platform's store. */
    store: ObjectStore;
    /** Hub whose view is followed, if it was heard lately: its address, and a signal that aborts when it falls silent. */
    hub: () => { address: string; silent: AbortSignal; } | undefined;
}

/** Longest wait for a listing from a hub, ms. */
const LIST_TIMEOUT_MS = 1000;
/** Time beyond a watch's own wait after which the hub is left, ms. */
const WATCH_GRACE_MS = 300;
/** Longest wait of a watch at a hub, ms. That the hub has fallen silent is noticed by its updates, which never pause. */
const HUB_WATCH_MS = 6000;

/** The platform's store, read through a hub while there is one in touch and directly otherwise. */
export class HubObjectStore implements ObjectStore {
    private client: { address: string; client: Client<typeof ViewService>; } | undefined;

    private constructor(private readonly options: HubObjectStoreOptions) {}

    /** Creates the store. */
    static create(options: HubObjectStoreOptions): HubObjectStore {
        return new HubObjectStore(options);
    }

    /** Reads one object from the platform. */
    read(key: ObjectKey, callClass: CallClass): Promise<ReadOutcome> {
        return this.options.store.read(key, callClass);
    }

    /** Writes to the platform. */
    write(key: ObjectKey, value: unknown, expected: Revision, callClass: CallClass): Promise<UpdateOutcome> {
        return this.options.store.write(key, value, expected, callClass);
    }

    /** Removes from the platform. */
    remove(key: ObjectKey, expected: Revision, callClass: CallClass): Promise<UpdateOutcome> {
        return this.options.store.remove(key, expected, callClass);
    }

    /** Lists the objects of one kind. */
    async list(kinds: readonly string[], callClass: CallClass): Promise<ListOutcome> {
        const hub = this.options.hub();
        const [kind = ""] = kinds;
        const listed = hub && await this.ask(hub, AbortSignal.timeout(LIST_TIMEOUT_MS), async (client, signal) => {
            const answer = await client.listObjects({ kind }, { signal });
            const objects = answer.objects.map(object => toStored(kind, object));
            return answer.isAvailable ? { kind: "listed" as const, objects, revision: answer.revision } : undefined;
        });
        return listed ?? this.options.store.list(kinds, callClass);
    }

    /** Waits for changes of one kind. */
    async watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<WatchOutcome> {
        const hub = this.options.hub();
        const [kind = ""] = kinds;
        const limit = AbortSignal.any([signal, AbortSignal.timeout(HUB_WATCH_MS + WATCH_GRACE_MS)]);
        const seen = hub && await this.ask(hub, limit, async (client, any): Promise<WatchOutcome | undefined> => {
            const answer = await client.watchObjects({ kind, after, waitMs: HUB_WATCH_MS }, { signal: any });
            if (!answer.isAvailable) {
                return undefined;
            }
            const changes = answer.changes.map((change): ObjectChange => {
                const object = toStored(kind, change.object);
                return change.isRemoved ? { kind: "removed", object } : { kind: "written", object };
            });
            return answer.isCompacted ? { kind: "compacted" } : { kind: "changed", changes, revision: answer.revision };
        });
        return seen ?? this.options.store.watch(kinds, after, waitMs, signal);
    }

    /** Asks a hub; undefined: it cannot answer, and the platform is asked instead. */
    private async ask<T>(
        hub: { address: string; silent: AbortSignal; },
        limit: AbortSignal,
        call: (client: Client<typeof ViewService>, signal: AbortSignal) => Promise<T | undefined>,
    ): Promise<T | undefined> {
        if (this.client?.address !== hub.address) {
            const transport = createGrpcTransport({ baseUrl: `http://${hub.address}` });
            this.client = { address: hub.address, client: createClient(ViewService, transport) };
        }
        try {
            return await call(this.client.client, AbortSignal.any([limit, hub.silent]));
        }
        catch {
            // The reason does not matter: the platform itself answers instead, and its failures are logged.
            this.client = undefined;
            return undefined;
        }
    }
}

function toStored(kind: string, object: ObjectMessage | undefined): StoredObject {
    const { name = "", revision = 0, valueJson = "" } = object ?? {};
    return { kind, name, revision, value: valueJson === "" ? undefined : JSON.parse(valueJson) as unknown };
}

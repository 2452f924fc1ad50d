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
import type { Clock, Random } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";

/** A gateway whose view of the store can be read. */
interface ViewSource {
    address: string;
    /** Aborts when the gateway falls silent. */
    silent: AbortSignal;
}

/** What a `PeerAssistedStore` is made of. */
interface PeerAssistedStoreOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    /** The platform's store. */
    store: ObjectStore;
    /** Hub whose view is followed, if it was heard lately. */
    hub: () => ViewSource | undefined;
    /** Gateways whose views may help where the store does not answer. */
    peers: () => ViewSource[];
}

/** A view of one kind at a peer. */
interface PeerListing {
    objects: StoredObject[];
    revision: Revision;
    /** False: the peer does not hear the store either, and this is what it knew last. */
    isCurrent: boolean;
}

/** Longest wait for a listing from a peer, ms. */
const LIST_TIMEOUT_MS = 1000;
/** Time beyond a watch's own wait after which a peer is left, ms. */
const WATCH_GRACE_MS = 300;
/** Longest wait of a watch at a peer, ms. That the peer has fallen silent is noticed by its updates. */
const PEER_WATCH_MS = 6000;
/** Peers that are asked before the store counts as unavailable: one may be cut off from it as well. */
const ASKED_PEERS = 2;
/** The same at a peer that is no hub, ms: the store itself may be back by then. */
const SECOND_HAND_WATCH_MS = 1000;
/** Pause between two looks at whether the store answers again, ms: calls to it are priced. */
const PROBE_PAUSE_MS = 700;
/** Wait of such a look, ms: an answer at once is what it is for. */
const PROBE_WAIT_MS = 1;

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/**
 * The platform's store, read through a hub while there is one in touch, and through any peer that hears the store while
 * it does not answer this gateway. A gateway without any view takes what a peer knew last. Writes go to the store alone.
 */
export class PeerAssistedStore implements ObjectStore {
    private readonly clients = new Map<string, Client<typeof ViewService>>();
    /** Kinds that this process has listed. */
    private readonly known = new Set<string>();
    /** Kinds whose last watch at the store failed. */
    private readonly failed = new Set<string>();
    /** Kinds for which the store does not answer. */
    private readonly away = new Set<string>();
    /** Kinds whose newest answer came from a peer that is no hub. */
    private readonly secondHand = new Set<string>();

    private constructor(private readonly options: PeerAssistedStoreOptions) {}

    /** Creates the store. */
    static create(options: PeerAssistedStoreOptions): PeerAssistedStore {
        return new PeerAssistedStore(options);
    }

    /** False while a kind is read from peers because the store does not answer: nobody may follow it here. */
    isFirstHand(kind: string): boolean {
        return !this.secondHand.has(kind);
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
        const [kind = ""] = kinds;
        const hub = this.options.hub();
        const atHub = hub && await this.listAt(hub, kind);
        if (atHub?.isCurrent) {
            return this.listed(kind, atHub, true);
        }
        const direct = await this.options.store.list(kinds, callClass);
        if (direct.kind === "listed") {
            return this.listed(kind, direct, true);
        }
        const atPeers = await this.listAtPeers(kind);
        return atPeers ? this.listed(kind, atPeers, false) : direct;
    }

    /** Waits for changes of one kind. */
    async watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<WatchOutcome> {
        const [kind = ""] = kinds;
        const hub = this.options.hub();
        const atHub = hub && await this.watchAt(hub, kind, after, PEER_WATCH_MS, signal);
        if (atHub) {
            this.secondHand.delete(kind);
            return atHub;
        }
        if (!this.away.has(kind)) {
            const direct = await this.options.store.watch(kinds, after, waitMs, signal);
            if (direct.kind !== "unavailable" || signal.aborted) {
                this.secondHand.delete(kind);
                this.failed.delete(kind);
                return direct;
            }
            if (!this.failed.has(kind)) {
                // A single connection that broke is no reason to hear of changes later, through a peer.
                this.failed.add(kind);
                return direct;
            }
            this.away.add(kind);
            void this.probe(kind, after, signal);
        }
        for (const peer of this.somePeers()) {
            const seen = await this.watchAt(peer, kind, after, SECOND_HAND_WATCH_MS, signal);
            if (seen) {
                this.noteSecondHand(kind, peer);
                return seen;
            }
        }
        this.away.delete(kind);
        return UNAVAILABLE;
    }

    /** Looks from time to time whether the store answers again. */
    private async probe(kind: string, after: Revision, signal: AbortSignal): Promise<void> {
        while (this.away.has(kind) && !signal.aborted) {
            await this.options.clock.sleep(PROBE_PAUSE_MS, signal);
            const answer = await this.options.store.watch([kind], after, PROBE_WAIT_MS, signal);
            if (answer.kind !== "unavailable") {
                this.away.delete(kind);
                this.failed.delete(kind);
            }
        }
    }

    private listed(
        kind: string,
        { objects, revision }: { objects: StoredObject[]; revision: Revision; },
        isFirstHand: boolean,
    ): ListOutcome {
        this.known.add(kind);
        if (isFirstHand) {
            this.secondHand.delete(kind);
        }
        return { kind: "listed", objects, revision };
    }

    private async listAtPeers(kind: string): Promise<PeerListing | undefined> {
        let last: PeerListing | undefined;
        for (const peer of this.somePeers()) {
            const listing = await this.listAt(peer, kind);
            if (listing?.isCurrent) {
                this.noteSecondHand(kind, peer);
                return listing;
            }
            if (listing && listing.revision > (last?.revision ?? 0)) {
                last = listing;
            }
        }
        if (this.known.has(kind) || !last) {
            return undefined;
        }
        this.options.log.warn("starting from a peer's last view", { kind, revision: last.revision });
        this.secondHand.add(kind);
        return last;
    }

    private noteSecondHand(kind: string, { address }: ViewSource): void {
        if (!this.secondHand.has(kind)) {
            this.options.log.warn("the store does not answer; reading it through a peer", { kind, peer: address });
            this.secondHand.add(kind);
        }
    }

    private somePeers(): ViewSource[] {
        const peers = this.options.peers();
        const first = Math.floor(this.options.random.next() * peers.length);
        return [...peers.slice(first), ...peers.slice(0, first)].slice(0, ASKED_PEERS);
    }

    private listAt(source: ViewSource, kind: string): Promise<PeerListing | undefined> {
        return this.ask(source, AbortSignal.timeout(LIST_TIMEOUT_MS), async (client, signal) => {
            const { objects, revision, isAvailable } = await client.listObjects({ kind }, { signal });
            return { objects: objects.map(object => toStored(kind, object)), revision, isCurrent: isAvailable };
        });
    }

    private watchAt(
        source: ViewSource,
        kind: string,
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<WatchOutcome | undefined> {
        const limit = AbortSignal.any([signal, AbortSignal.timeout(waitMs + WATCH_GRACE_MS)]);
        return this.ask(source, limit, async (client, any): Promise<WatchOutcome | undefined> => {
            const answer = await client.watchObjects({ kind, after, waitMs }, { signal: any });
            if (!answer.isAvailable) {
                return undefined;
            }
            const changes = answer.changes.map((change): ObjectChange => {
                const object = toStored(kind, change.object);
                return change.isRemoved ? { kind: "removed", object } : { kind: "written", object };
            });
            return answer.isCompacted ? { kind: "compacted" } : { kind: "changed", changes, revision: answer.revision };
        });
    }

    /** Asks a peer; undefined: it cannot answer. */
    private async ask<T>(
        { address, silent }: ViewSource,
        limit: AbortSignal,
        call: (client: Client<typeof ViewService>, signal: AbortSignal) => Promise<T | undefined>,
    ): Promise<T | undefined> {
        let client = this.clients.get(address);
        if (!client) {
            client = createClient(ViewService, createGrpcTransport({ baseUrl: `http://${address}` }));
            this.clients.set(address, client);
        }
        try {
            return await call(client, AbortSignal.any([limit, silent]));
        }
        catch {
            // The reason does not matter: another one answers instead, and if none does, that is logged.
            this.clients.delete(address);
            return undefined;
        }
    }
}

function toStored(kind: string, object: ObjectMessage | undefined): StoredObject {
    const { name = "", revision = 0, valueJson = "" } = object ?? {};
    return { kind, name, revision, value: valueJson === "" ? undefined : JSON.parse(valueJson) as unknown };
}

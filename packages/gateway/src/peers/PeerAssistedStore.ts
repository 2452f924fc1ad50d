import { type Client, createClient } from "@connectrpc/connect";
import type {
    CallClass,
    Era,
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
import type { StoreEras } from "../StoreEras.js";
import { createPeerTransport } from "./createPeerTransport.js";
import type { ViewSource } from "./ViewSource.js";

interface PeerAssistedStoreOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    eras: StoreEras;
    /** The platform's store. */
    store: ObjectStore;
    /** Gateway whose view is read instead of the store; undefined if there is none or it is not reachable. */
    source: () => ViewSource | undefined;
    /** Gateways whose views may be used while the store is unavailable. */
    peers: () => ViewSource[];
    /** Time within which a connection to a peer that has fallen silent is given up. */
    silenceLimitMs: number;
    /** Called when a kind is no longer read through the source. */
    onSourceLost: (kind: string) => void;
}

/** A peer's view of one kind of object. */
interface PeerListing {
    objects: StoredObject[];
    revision: Revision;
    /** Era of the revision, or a newer one that the peer has learned of. */
    era?: Era;
    /** False if the peer does not reach the store either and this is its last known state. */
    isCurrent: boolean;
    /** Age of the view; undefined if the peer is of an earlier build, which does not state it. */
    ageMs: number | undefined;
}

/** Outcome of a watch at a peer, and the age of its view as in `PeerListing`. */
interface PeerWatch {
    outcome: WatchOutcome;
    ageMs: number | undefined;
}

/** Position of a watch in the store. */
interface Cursor {
    revision: Revision;
    era: Era;
}

/** Timeout of a listing from a peer. */
const LIST_TIMEOUT_MS = 1000;
/** Additional time beyond a watch's own wait after which the call to a peer is aborted. */
const WATCH_GRACE_MS = 300;
/**
 * Longest wait of a watch at the source. The source ends it sooner when its view gets too old, and pings show that its
 * connection has fallen silent.
 */
const PEER_WATCH_MS = 6000;
/** Time for which a source that states no age is not read again. */
const AGELESS_SOURCE_RETRY_MS = 5000;
/** Number of peers that are tried before the store counts as unavailable: one may be partitioned from it as well. */
const MAX_FALLBACK_PEERS = 2;
/** Number of peers that are asked for their active configuration: some may have started after a restore as well. */
const MAX_CONFIGURATION_PEERS = 4;
/** Timeout of these calls. A gateway that starts waits for them, also for those to VMs that do not respond. */
const CONFIGURATION_TIMEOUT_MS = 500;
/** Longest wait of a watch at a fallback peer, which is not the source: the store itself may be available again by then. */
const FALLBACK_WATCH_MS = 1000;
/** Interval of the probes that check whether the store is available again: calls to it are billed. */
const PROBE_INTERVAL_MS = 700;
/** Wait of a probe, which needs only an immediate response. */
const PROBE_WAIT_MS = 1;

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/**
 * The platform's store, read through another gateway while that is reachable, and through any peer that reaches the
 * store while it is unavailable to this gateway. A gateway without any view of a kind starts from a peer's last known
 * state. Writes always go to the store.
 */
export class PeerAssistedStore implements ObjectStore {
    private readonly clients = new Map<string, Client<typeof ViewService>>();
    /** Kinds that this process has listed. */
    private readonly listedKinds = new Set<string>();
    /** Kinds whose last watch at the store failed. */
    private readonly failedKinds = new Set<string>();
    /** Kinds for which the store is unavailable. */
    private readonly unavailableKinds = new Set<string>();
    /** Kinds whose newest response came from a fallback peer. */
    private readonly fallbackKinds = new Set<string>();
    /** When the store has last confirmed the view of each kind, monotonic. */
    private readonly confirmedAtMs = new Map<string, number>();
    /** When the store itself has last responded for each kind, monotonic. */
    private readonly respondedAtMs = new Map<string, number>();
    /** Kinds for which the source has a call in progress, which it ends when its view gets too old. */
    private readonly followedKinds = new Set<string>();
    /** Sources that have stated the age of their view since the last failed call. */
    private readonly sourcesWithAge = new Set<string>();
    /** Sources of earlier builds, by address, and when they were found to state no age, monotonic. */
    private readonly agelessAtMs = new Map<string, number>();

    private constructor(private readonly options: PeerAssistedStoreOptions) {}

    /** Creates the store. */
    static create(options: PeerAssistedStoreOptions): PeerAssistedStore {
        return new PeerAssistedStore(options);
    }

    /** Returns false while a kind is read from a fallback peer: then other gateways must not read it from this one. */
    isAuthoritative(kind: string): boolean {
        return !this.fallbackKinds.has(kind);
    }

    /** Returns the time since the store has confirmed the view of a kind; Infinity before the first time. */
    ageMs(kind: string): number {
        return this.followedKinds.has(kind) ? 0 : this.nowMs() - (this.confirmedAtMs.get(kind) ?? -Infinity);
    }

    /** Returns true while the source has a call in progress, so that changes arrive through it. */
    isFollowing(kind: string): boolean {
        return this.followedKinds.has(kind);
    }

    /** Returns when the store itself has last responded for a kind, monotonic; -Infinity before the first time. */
    storeRespondedAtMs(kind: string): number {
        return this.respondedAtMs.get(kind) ?? -Infinity;
    }

    /** Reads one object from the platform's store. */
    async read(key: ObjectKey, callClass: CallClass): Promise<ReadOutcome> {
        const outcome = await this.options.store.read(key, callClass);
        if (outcome.kind !== "unavailable") {
            this.options.eras.observe(outcome.era);
        }
        return outcome;
    }

    /**
     * Reads one object from the platform's store, or while that is unavailable from the view of a peer that the store has
     * confirmed within `maxAgeMs`; the outcome then has the age of that view.
     */
    async readRecent(key: ObjectKey, maxAgeMs: number): Promise<ReadOutcome & { ageMs?: number; }> {
        const outcome = await this.read(key, "read");
        if (outcome.kind !== "unavailable") {
            return outcome;
        }
        for (const peer of this.fallbackPeers()) {
            const listing = await this.listAt(peer, key.kind);
            const { ageMs = Infinity } = listing ?? {};
            if (this.isUpToDate(listing) && ageMs <= maxAgeMs) {
                const object = listing.objects.find(({ name }) => name === key.name);
                return object ? { kind: "found", object, ageMs } : { kind: "absent", ageMs };
            }
        }
        return outcome;
    }

    /** Writes one object to the platform's store. */
    async write(
        key: ObjectKey,
        value: unknown,
        expected: Revision,
        callClass: CallClass,
        era?: Era,
    ): Promise<UpdateOutcome> {
        return this.observeUpdate(await this.options.store.write(key, value, expected, callClass, era));
    }

    /** Removes one object from the platform's store. */
    async remove(key: ObjectKey, expected: Revision, callClass: CallClass, era?: Era): Promise<UpdateOutcome> {
        return this.observeUpdate(await this.options.store.remove(key, expected, callClass, era));
    }

    /** Lists the objects of one kind. */
    async list(kinds: readonly string[], callClass: CallClass): Promise<ListOutcome> {
        const [kind = ""] = kinds;
        const source = this.currentSource();
        const listing = source && await this.listAt(source, kind);
        const isUsable = source && listing?.isCurrent && this.recordAge(source, kind, listing.ageMs);
        if (isUsable && this.isOfNewestEra(listing)) {
            return this.listedOutcome(kind, listing, true);
        }
        const storeListing = await this.options.store.list(kinds, callClass);
        if (storeListing.kind === "listed") {
            this.recordResponse(kind);
            return this.listedOutcome(kind, storeListing, true);
        }
        const peerListing = await this.listAtPeers(kind);
        return peerListing ? this.listedOutcome(kind, peerListing, false) : storeListing;
    }

    /** Waits for changes of one kind. */
    async watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
        era: Era = 0,
    ): Promise<WatchOutcome> {
        const [kind = ""] = kinds;
        if (era < this.options.eras.current) {
            return { kind: "compacted", era: this.options.eras.current };
        }
        const cursor = { revision: after, era };
        const source = this.currentSource();
        const outcome = source && await this.watchAtSource(source, kind, cursor, signal);
        if (outcome) {
            this.fallbackKinds.delete(kind);
            return outcome;
        }
        if (!this.unavailableKinds.has(kind)) {
            const storeOutcome = await this.options.store.watch(kinds, after, waitMs, signal, era);
            if (storeOutcome.kind !== "unavailable" || signal.aborted) {
                this.fallbackKinds.delete(kind);
                this.failedKinds.delete(kind);
                if (storeOutcome.kind === "changed") {
                    this.recordResponse(kind);
                }
                return storeOutcome;
            }
            if (!this.failedKinds.has(kind)) {
                // One broken connection is no reason to read through a peer, where changes arrive later.
                this.failedKinds.add(kind);
                return storeOutcome;
            }
            this.unavailableKinds.add(kind);
            void this.probe(kind, cursor, signal);
        }
        for (const peer of this.fallbackPeers()) {
            const peerOutcome = await this.watchAt(peer, kind, cursor, FALLBACK_WATCH_MS, signal);
            if (peerOutcome) {
                this.recordFallback(kind, peer);
                return peerOutcome.outcome;
            }
        }
        this.unavailableKinds.delete(kind);
        return UNAVAILABLE;
    }

    /**
     * Returns the configurations, in their stored form, that are active at some of the peers. One of them is newer than
     * the store's if the store was restored from an older copy.
     */
    async activeConfigurations(peers = this.options.peers()): Promise<unknown[]> {
        const values = await Promise.all(
            this.sample(peers, MAX_CONFIGURATION_PEERS).map(peer =>
                this.callPeer(peer, AbortSignal.timeout(CONFIGURATION_TIMEOUT_MS), async (client, signal) => {
                    const { valueJson } = await client.getActiveConfiguration({}, { signal });
                    return valueJson === "" ? undefined : JSON.parse(valueJson) as unknown;
                })
            ),
        );
        return values.filter(value => value !== undefined);
    }

    /** Returns the source, unless it was found to be of a build that does not state the age of its view. */
    private currentSource(): ViewSource | undefined {
        const source = this.options.source();
        const agelessAtMs = this.agelessAtMs.get(source?.address ?? "") ?? -Infinity;
        return this.nowMs() - agelessAtMs < AGELESS_SOURCE_RETRY_MS ? undefined : source;
    }

    /** Waits for changes at the source. Returns undefined if its view cannot be used. */
    private async watchAtSource(
        source: ViewSource,
        kind: string,
        cursor: Cursor,
        signal: AbortSignal,
    ): Promise<WatchOutcome | undefined> {
        const watchFor = async (waitMs: number) => {
            const watched = await this.watchAt(source, kind, cursor, waitMs, signal);
            return watched && this.recordAge(source, kind, watched.ageMs) ? watched.outcome : undefined;
        };
        if (!this.sourcesWithAge.has(source.address)) {
            const probed = await watchFor(PROBE_WAIT_MS);
            if (!probed || !isEmpty(probed)) {
                return probed;
            }
        }
        this.followedKinds.add(kind);
        const outcome = await watchFor(PEER_WATCH_MS);
        this.followedKinds.delete(kind);
        if (!outcome) {
            this.options.onSourceLost(kind);
        }
        return outcome;
    }

    /** Records the age that a source states for its view. Returns false if it states none. */
    private recordAge({ address }: ViewSource, kind: string, ageMs: number | undefined): boolean {
        const nowMs = this.nowMs();
        if (ageMs === undefined) {
            this.options.log.info("source states no age of its view; reading the store", { kind, peer: address });
            this.agelessAtMs.set(address, nowMs);
            return false;
        }
        this.agelessAtMs.delete(address);
        this.sourcesWithAge.add(address);
        this.confirmedAtMs.set(kind, nowMs - ageMs);
        return true;
    }

    private recordResponse(kind: string): void {
        const nowMs = this.nowMs();
        this.confirmedAtMs.set(kind, nowMs);
        this.respondedAtMs.set(kind, nowMs);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /** Checks at intervals whether the store is available again. */
    private async probe(kind: string, { revision, era }: Cursor, signal: AbortSignal): Promise<void> {
        while (this.unavailableKinds.has(kind) && !signal.aborted) {
            await this.options.clock.sleep(PROBE_INTERVAL_MS, signal);
            const outcome = await this.options.store.watch([kind], revision, PROBE_WAIT_MS, signal, era);
            if (outcome.kind !== "unavailable") {
                this.unavailableKinds.delete(kind);
                this.failedKinds.delete(kind);
            }
        }
    }

    private listedOutcome(
        kind: string,
        { objects, revision, era }: { objects: StoredObject[]; revision: Revision; era?: Era; },
        isAuthoritative: boolean,
    ): ListOutcome {
        this.listedKinds.add(kind);
        if (isAuthoritative) {
            this.fallbackKinds.delete(kind);
        }
        return { kind: "listed", objects, revision, ...(era !== undefined && { era }) };
    }

    private async listAtPeers(kind: string): Promise<PeerListing | undefined> {
        let lastListing: PeerListing | undefined;
        for (const peer of this.fallbackPeers()) {
            const listing = await this.listAt(peer, kind);
            if (this.isUpToDate(listing)) {
                this.recordFallback(kind, peer);
                return listing;
            }
            if (listing && isNewer(listing, lastListing)) {
                lastListing = listing;
            }
        }
        if (this.listedKinds.has(kind) || !lastListing) {
            return undefined;
        }
        this.options.log.warn("starting from a peer's last known state", { kind, revision: lastListing.revision });
        this.fallbackKinds.add(kind);
        return lastListing;
    }

    private recordFallback(kind: string, { address }: ViewSource): void {
        if (!this.fallbackKinds.has(kind)) {
            this.options.log.warn("store unavailable; reading it through a peer", { kind, peer: address });
            this.fallbackKinds.add(kind);
        }
    }

    private fallbackPeers(): ViewSource[] {
        return this.sample(this.options.peers(), MAX_FALLBACK_PEERS);
    }

    private sample(peers: readonly ViewSource[], count: number): ViewSource[] {
        const first = Math.floor(this.options.random.next() * peers.length);
        return [...peers.slice(first), ...peers.slice(0, first)].slice(0, count);
    }

    private listAt(source: ViewSource, kind: string): Promise<PeerListing | undefined> {
        return this.callPeer(source, AbortSignal.timeout(LIST_TIMEOUT_MS), async (client, signal) => {
            const { objects, revision, isAvailable, era, ageMs } = await client.listObjects({ kind }, { signal });
            this.options.eras.observe(era);
            return {
                objects: objects.map(object => toStoredObject(kind, object)),
                revision,
                ...eraField(era),
                isCurrent: isAvailable,
                ageMs,
            };
        });
    }

    private watchAt(
        source: ViewSource,
        kind: string,
        cursor: Cursor,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PeerWatch | undefined> {
        const limit = AbortSignal.any([signal, AbortSignal.timeout(waitMs + WATCH_GRACE_MS)]);
        return this.callPeer(source, limit, async (client, callSignal): Promise<PeerWatch | undefined> => {
            const { revision: after, era } = cursor;
            const response = await client.watchObjects({ kind, after, waitMs, era }, { signal: callSignal });
            this.options.eras.observe(response.era);
            if (!response.isAvailable) {
                return undefined;
            }
            const changes = response.changes.map((change): ObjectChange => {
                const object = toStoredObject(kind, change.object);
                return change.isRemoved ? { kind: "removed", object } : { kind: "written", object };
            });
            const outcome: WatchOutcome = response.isCompacted
                ? { kind: "compacted", ...eraField(response.era) }
                : { kind: "changed", changes, revision: response.revision, ...eraField(response.era) };
            return { outcome, ageMs: response.ageMs };
        });
    }

    private isUpToDate(listing: PeerListing | undefined): listing is PeerListing {
        return listing !== undefined && listing.isCurrent && this.isOfNewestEra(listing);
    }

    private isOfNewestEra({ era = 0 }: PeerListing): boolean {
        return era >= this.options.eras.current;
    }

    private observeUpdate(outcome: UpdateOutcome): UpdateOutcome {
        if (outcome.kind === "committed" || outcome.kind === "conflict") {
            this.options.eras.observe(outcome.era);
        }
        return outcome;
    }

    /** Calls a peer; returns undefined if the call fails or the peer has no current view. */
    private async callPeer<T>(
        { address, silent, isInSameZone }: ViewSource,
        limit: AbortSignal,
        call: (client: Client<typeof ViewService>, signal: AbortSignal) => Promise<T | undefined>,
    ): Promise<T | undefined> {
        let client = this.clients.get(address);
        if (!client) {
            const pingMs = this.options.silenceLimitMs / 2;
            client = createClient(ViewService, createPeerTransport({ address, isInSameZone, pingMs }));
            this.clients.set(address, client);
        }
        try {
            return await call(client, AbortSignal.any([limit, silent]));
        }
        catch {
            // The reason does not matter: another peer is called instead, and it is logged if none responds.
            this.clients.delete(address);
            this.sourcesWithAge.delete(address);
            return undefined;
        }
    }
}

function isNewer(listing: PeerListing, other: PeerListing | undefined): boolean {
    const [era, otherEra] = [listing.era ?? 0, other?.era ?? 0];
    return era === otherEra ? listing.revision > (other?.revision ?? 0) : era > otherEra;
}

function isEmpty(outcome: WatchOutcome): boolean {
    return outcome.kind === "changed" && outcome.changes.length === 0;
}

function eraField(era: Era): { era?: Era; } {
    return era === 0 ? {} : { era };
}

function toStoredObject(kind: string, object: ObjectMessage | undefined): StoredObject {
    const { name = "", revision = 0, valueJson = "" } = object ?? {};
    return { kind, name, revision, value: valueJson === "" ? undefined : JSON.parse(valueJson) as unknown };
}

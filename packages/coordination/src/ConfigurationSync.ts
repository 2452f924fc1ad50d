import type { ConnectRouter } from "@connectrpc/connect";
import type { ObjectKey, ObjectStore, StoredObject } from "@fescuehaven/platform";
import { ConfigurationService } from "@fescuehaven/protocol";
import { replicatedKinds, type ResourceKind, type ResourceValue } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import { setMaxListeners } from "node:events";
import type { ActiveRevision } from "./ActiveRevision.js";
import { ConfigurationState } from "./ConfigurationState.js";
import type { DigestEntry } from "./DigestEntry.js";
import { DigestExchange } from "./DigestExchange.js";
import { DigestResponder } from "./DigestResponder.js";
import { PlatformWatch } from "./PlatformWatch.js";
import type { ConfigurationView } from "./ports/ConfigurationView.js";
import type { PeerClients } from "./ports/PeerClients.js";
import type { PeerView } from "./ports/PeerView.js";

interface ConfigurationSyncOptions {
    /** Name of this process. */
    process: string;
    /** Availability zone of this process. */
    zone: string;
    store: ObjectStore;
    peers: PeerView;
    clients: PeerClients;
    clock: Clock;
    random: Random;
    logger: Logger;
    events: EventRecorder;
}

/**
 * The active configuration of this process, kept up to date by watching the platform and by exchanging digests with
 * peers. No object ever goes back to a lower revision.
 */
export class ConfigurationSync implements ConfigurationView {
    private constructor(
        private readonly state: ConfigurationState,
        private readonly watch: PlatformWatch,
        private readonly exchange: DigestExchange,
        private readonly responder: DigestResponder,
    ) {}

    /** Creates an empty configuration; `run` fills it. */
    static create(options: ConfigurationSyncOptions): ConfigurationSync {
        const { clock, events } = options;
        const state = ConfigurationState.create({ kinds: replicatedKinds, clock, events });
        const watch = PlatformWatch.create({ ...options, state, kinds: replicatedKinds });
        const exchange = DigestExchange.create({ ...options, state });
        return new ConfigurationSync(state, watch, exchange, DigestResponder.create(state));
    }

    /** Increases with every adopted object or removal. */
    get version(): number {
        return this.state.version;
    }

    /** False until a first complete listing was received from the platform or from a peer that had one. */
    get complete(): boolean {
        return this.state.complete;
    }

    /** False after several consecutive failures of the platform, until a call succeeds. */
    get platformAvailable(): boolean {
        return this.watch.available;
    }

    /** The complete state of the store up to this revision is known here. */
    get coveredRevision(): number {
        return this.state.coveredRevision;
    }

    /** Returns the active object, or undefined. */
    get<K extends ResourceKind>(kind: K, name: string): StoredObject<ResourceValue<K>> | undefined {
        return this.state.get(kind, name) as StoredObject<ResourceValue<K>> | undefined;
    }

    /** Returns all active objects of a kind, sorted by name. */
    list<K extends ResourceKind>(kind: K): ReadonlyArray<StoredObject<ResourceValue<K>>> {
        return this.state.list(kind) as Array<StoredObject<ResourceValue<K>>>;
    }

    /** Resolves once `version` differs from `seen`, or when `signal` aborts. */
    async changed(seen: number, signal: AbortSignal): Promise<void> {
        while (this.state.version === seen && !signal.aborted) {
            await this.state.changes.next(signal);
        }
    }

    /** Returns an entry for every active object and every tombstone. */
    digest(): DigestEntry[] {
        return this.state.digest();
    }

    /** Returns the active revision of an object, or undefined if the process never had one. */
    activeRevision(key: ObjectKey): ActiveRevision | undefined {
        return this.state.activeRevision(key);
    }

    /** Returns objects whose newest value is invalid here; their last valid value, if any, is active. */
    refused(): DigestEntry[] {
        return this.state.refused();
    }

    /** Watches the platform and exchanges digests until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        // Every call in progress listens on the signal.
        setMaxListeners(0, signal);
        await Promise.all([this.watch.run(signal), this.exchange.run(signal)]);
    }

    /** Serves the digest exchange to peers. */
    registerOn(router: ConnectRouter): void {
        router.service(ConfigurationService, {
            exchangeDigest: request => this.responder.respond(request),
        });
    }
}

import { Journal, type JournalSettings, journalSettingsSchema, type Peer } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import { ManualClock } from "./ManualClock.js";
import { MemoryNetwork } from "./MemoryNetwork.js";
import { MemoryObjectStore } from "./MemoryObjectStore.js";
import { SeededRandom } from "./SeededRandom.js";
import { SilentLogger } from "./SilentLogger.js";
import { SilentMetrics } from "./SilentMetrics.js";

/** Step by which the clock advances while a test waits for an outcome. */
const STEP_MS = 5;
const MAX_STEPS = 40_000;

/** The journals of several routers that share one store and one network. */
export class JournalRouters {
    readonly network: MemoryNetwork;
    readonly store: MemoryObjectStore;
    readonly settings: JournalSettings;
    readonly journals: readonly Journal[];

    private constructor(
        readonly clock: ManualClock,
        readonly names: readonly string[],
        settings: Partial<JournalSettings>,
        seed: number,
        clockOf: (index: number) => Clock,
    ) {
        this.network = MemoryNetwork.create(clock);
        this.store = MemoryObjectStore.create(clock);
        this.settings = journalSettingsSchema.parse({ shardCount: 1, ...settings });
        this.journals = names.map((name, index) => this.startJournal(name, seed + index, clockOf(index)));
    }

    /** Starts the routers; `clockOf` returns the clock of each router, by default the shared one. */
    static create(options: {
        routerCount: number;
        settings?: Partial<JournalSettings>;
        seed?: number;
        clock?: ManualClock;
        clockOf?: (index: number) => Clock;
    }): JournalRouters {
        const clock = options.clock ?? ManualClock.create();
        const names = Array.from({ length: options.routerCount }, (_, index) => `router-${index}`);
        const clockOf = options.clockOf ?? (() => clock);
        return new JournalRouters(clock, names, options.settings ?? {}, options.seed ?? 1, clockOf);
    }

    /** Advances the clock until the promise has settled, at most `MAX_STEPS` steps; returns the promise. */
    async until<T>(promise: Promise<T>): Promise<T> {
        const finished = new AbortController();
        void promise.finally(() => finished.abort());
        for (let step = 0; step < MAX_STEPS && !finished.signal.aborted; step++) {
            await this.clock.advance(STEP_MS);
        }
        return promise;
    }

    private startJournal(name: string, seed: number, clock: Clock): Journal {
        const journal = Journal.create({
            process: name,
            settings: this.settings,
            store: this.store,
            peers: { list: () => this.names.filter(other => other !== name).map(peerOf) },
            clients: this.network.clientsOf(name),
            clock,
            random: SeededRandom.create(seed, name),
            logger: SilentLogger.create(),
            metrics: SilentMetrics.create(),
        });
        this.network.listen(name, router => journal.registerOn(router));
        return journal;
    }
}

function peerOf(name: string): Peer {
    return { name, zone: "zone-a", role: "router", url: `http://${name}` };
}

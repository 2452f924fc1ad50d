import {
    ManualClock,
    MemoryEventRecorder,
    MemoryNetwork,
    MemoryObjectStore,
    SeededRandom,
    SilentLogger,
} from "@fescuehaven/testing";
import { ConfigurationSync, type Peer, type PeerClients } from "../../src/index.js";

interface RunningProcess {
    sync: ConfigurationSync;
    events: MemoryEventRecorder;
    /** The platform's store as this process reaches it; its faults affect only this process. */
    store: ReturnType<typeof isolatableStore>;
    stop: AbortController;
}

/** Several processes, each with a ConfigurationSync, that share one store and one network. */
export class ConfigurationRig {
    readonly clock = ManualClock.create();
    readonly store = MemoryObjectStore.create(this.clock);
    readonly network = MemoryNetwork.create(this.clock);
    readonly processes = new Map<string, RunningProcess>();

    /** Number of connections abandoned so far. */
    abandoned = 0;

    private calls = 0;

    private constructor(private readonly peers: readonly Peer[], private readonly seed: number) {
        this.network.onCall = () => this.calls += 1;
    }

    /** Creates the rig; process names have the form `zone/process`. */
    static create(names: readonly string[], seed = 1): ConfigurationRig {
        return new ConfigurationRig(names.map(peerOf), seed);
    }

    /** Starts processes by name. */
    start(...names: string[]): void {
        names.forEach(name => this.startOne(name));
    }

    /** Returns the configuration of a process. */
    sync(name: string): ConfigurationSync {
        return this.process(name).sync;
    }

    /** Returns a running process. */
    process(name: string): RunningProcess {
        const process = this.processes.get(name);
        if (!process) {
            throw new Error(`${name} is not started`);
        }
        return process;
    }

    /** Sets the state of the links between two sets of processes. */
    setLinks(isOneSide: (name: string) => boolean, state: "open" | "refused" | "silent"): void {
        const [one, other] = [
            this.peers.filter(peer => isOneSide(peer.name)),
            this.peers.filter(peer => !isOneSide(peer.name)),
        ];
        one.forEach(a => other.forEach(b => this.network.setLink(a.name, b.name, state)));
    }

    /** Stops one process. It can be started again, without its previous state. */
    async stopOne(name: string): Promise<void> {
        this.process(name).stop.abort();
        this.network.close(name);
        await this.clock.advance(0);
    }

    /** Returns the number of digest exchange calls so far. */
    exchangeCount(): number {
        return this.calls;
    }

    /** Stops everything. */
    async stop(): Promise<void> {
        this.processes.forEach(process => process.stop.abort());
        await this.clock.advance(0);
    }

    private countingClients(name: string): PeerClients {
        const clients = this.network.clientsOf(name);
        return {
            get: (service, peer) => clients.get(service, peer),
            abandon: peer => {
                this.abandoned += 1;
                clients.abandon(peer);
            },
        };
    }

    private startOne(name: string): void {
        const { clock, network } = this;
        const events = MemoryEventRecorder.create();
        const store = isolatableStore(this.store);
        const sync = ConfigurationSync.create({
            process: name,
            zone: name.split("/")[0] ?? "",
            store,
            peers: { list: () => this.peers.filter(peer => peer.name !== name) },
            clients: this.countingClients(name),
            clock,
            random: SeededRandom.create(this.seed + this.processes.size),
            logger: SilentLogger.create(),
            events,
        });
        const stop = new AbortController();
        network.listen(name, router => sync.registerOn(router));
        this.processes.set(name, { sync, events, store, stop });
        void sync.run(stop.signal);
    }
}

function peerOf(name: string): Peer {
    return { name, zone: name.split("/")[0] ?? "", role: "router", url: `http://${name}` };
}

/** Wraps the store for one process, which can be disconnected from it. */
function isolatableStore(store: MemoryObjectStore) {
    const unavailable = { kind: "unavailable", retryAfterMs: 0 } as const;
    return {
        unreachable: false,
        read: store.read.bind(store),
        write: store.write.bind(store),
        remove: store.remove.bind(store),
        async list(...args: Parameters<MemoryObjectStore["list"]>) {
            return this.unreachable ? unavailable : store.list(...args);
        },
        async watch(...args: Parameters<MemoryObjectStore["watch"]>) {
            const outcome = this.unreachable ? unavailable : await store.watch(...args);
            return this.unreachable ? unavailable : outcome;
        },
    };
}

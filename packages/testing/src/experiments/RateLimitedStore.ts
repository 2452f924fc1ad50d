import type { ObjectStore, StoredObject } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import { MemoryObjectStore } from "../fakes/MemoryObjectStore.js";

/** Options of `RateLimitedStore`. */
interface RateLimitedStoreOptions {
    clock: Clock;
    /** Time that every call takes, ms. */
    latencyMs: number;
    /** Writes that the store takes a second; more wait for their turn. */
    writesPerSecond: number;
}

/** An object store in memory that answers after a while and takes writes at a bounded rate. */
export class RateLimitedStore implements ObjectStore {
    private readonly store: MemoryObjectStore;
    private nextWriteMs = 0;

    private constructor(private readonly options: RateLimitedStoreOptions) {
        this.store = MemoryObjectStore.create(options.clock);
        this.store.faults.delayMs = options.latencyMs;
    }

    /** Creates an empty store. */
    static create(options: RateLimitedStoreOptions): RateLimitedStore {
        return new RateLimitedStore(options);
    }

    /** Calls so far by method. */
    get calls(): MemoryObjectStore["calls"] {
        return this.store.calls;
    }

    /** Reads one object. */
    read: ObjectStore["read"] = key => this.store.read(key);

    /** Reads all objects of the kinds. */
    list: ObjectStore["list"] = kinds => this.store.list(kinds);

    /** Writes when its turn has come. */
    write: ObjectStore["write"] = async (key, value, expected) => {
        await this.turn();
        return this.store.write(key, value, expected);
    };

    /** Removes when its turn has come. */
    remove: ObjectStore["remove"] = async (key, expected) => {
        await this.turn();
        return this.store.remove(key, expected);
    };

    /** Waits for changes. */
    watch: ObjectStore["watch"] = (kinds, after, waitMs, signal) => this.store.watch(kinds, after, waitMs, signal);

    /** The object as it stands. */
    peek(kind: string, name: string): StoredObject | undefined {
        return this.store.peek(kind, name);
    }

    private async turn(): Promise<void> {
        const { clock, writesPerSecond } = this.options;
        const nowMs = clock.monotonicMs();
        const turnMs = Math.max(nowMs, this.nextWriteMs);
        this.nextWriteMs = turnMs + 1000 / writesPerSecond;
        if (turnMs > nowMs) {
            await clock.sleep(turnMs - nowMs);
        }
    }
}

import type { ObjectStore, StoredObject } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import { MemoryObjectStore } from "../fakes/MemoryObjectStore.js";

interface RateLimitedStoreOptions {
    clock: Clock;
    /** Latency of every call. */
    latencyMs: number;
    /** Maximum rate of writes; further writes wait. */
    writesPerSecond: number;
}

/** An in-memory object store with a fixed latency and a limited rate of writes. */
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

    /** Number of calls so far, by method. */
    get calls(): MemoryObjectStore["calls"] {
        return this.store.calls;
    }

    /** Reads one object. */
    read: ObjectStore["read"] = key => this.store.read(key);

    /** Lists all objects of the kinds. */
    list: ObjectStore["list"] = kinds => this.store.list(kinds);

    /** Writes an object once the rate limit allows it. */
    write: ObjectStore["write"] = async (key, value, expected) => {
        await this.waitForWriteSlot();
        return this.store.write(key, value, expected);
    };

    /** Removes an object once the rate limit allows it. */
    remove: ObjectStore["remove"] = async (key, expected) => {
        await this.waitForWriteSlot();
        return this.store.remove(key, expected);
    };

    /** Waits for changes. */
    watch: ObjectStore["watch"] = (kinds, after, waitMs, signal) => this.store.watch(kinds, after, waitMs, signal);

    /** Returns the current object without latency, or undefined if it does not exist. */
    peek(kind: string, name: string): StoredObject | undefined {
        return this.store.peek(kind, name);
    }

    private async waitForWriteSlot(): Promise<void> {
        const { clock, writesPerSecond } = this.options;
        const nowMs = clock.monotonicMs();
        const startMs = Math.max(nowMs, this.nextWriteMs);
        this.nextWriteMs = startMs + 1000 / writesPerSecond;
        if (startMs > nowMs) {
            await clock.sleep(startMs - nowMs);
        }
    }
}

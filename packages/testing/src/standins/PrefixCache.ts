import type { Clock, Random } from "@fescuehaven/runtime";
import { createHash } from "node:crypto";

/** Characters of a prompt that count as its prefix. */
const PREFIX_CHARACTERS = 256;

/** Largest number of events kept for readers. */
const MAX_EVENTS = 1000;

interface CacheEvent {
    sequence: number;
    kind: "stored" | "evicted";
    prefixHash: string;
    visibleAtMs: number;
}

/** An engine's cache of prompt prefixes with LRU eviction; its events are delayed, and some are never published. */
export class PrefixCache {
    private readonly entries = new Set<string>();
    private events: CacheEvent[] = [];
    private sequence = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly limits: { entries: number; eventLagMs: number; eventLoss: number; },
    ) {}

    /** Creates an empty cache. */
    static create(options: {
        clock: Clock;
        random: Random;
        entries: number;
        eventLagMs: number;
        eventLoss: number;
    }): PrefixCache {
        return new PrefixCache(options.clock, options.random, options);
    }

    /** Returns whether the prompt's prefix was cached, and stores it. */
    lookUpAndStore(prompt: string): boolean {
        const hash = createHash("sha256").update(prompt.slice(0, PREFIX_CHARACTERS)).digest("hex").slice(0, 16);
        const hit = this.entries.delete(hash);
        if (this.limits.entries === 0) {
            return false;
        }
        this.entries.add(hash);
        if (!hit) {
            this.publish("stored", hash);
            this.evictOldest();
        }
        return hit;
    }

    /** Removes all prefixes without publishing events. */
    clear(): void {
        this.entries.clear();
    }

    /** Returns the events after sequence number `after` that are visible by now. */
    eventsAfter(after: number): { events: Array<Omit<CacheEvent, "visibleAtMs">>; next: number; } {
        const nowMs = this.clock.monotonicMs();
        const events = this.events
            .filter(event => event.sequence > after && event.visibleAtMs <= nowMs)
            .map(({ sequence, kind, prefixHash }) => ({ sequence, kind, prefixHash }));
        return { events, next: events.at(-1)?.sequence ?? after };
    }

    private evictOldest(): void {
        const [oldest] = this.entries;
        if (this.entries.size > this.limits.entries && oldest !== undefined) {
            this.entries.delete(oldest);
            this.publish("evicted", oldest);
        }
    }

    private publish(kind: CacheEvent["kind"], prefixHash: string): void {
        this.sequence += 1;
        if (this.random.next() < this.limits.eventLoss) {
            return;
        }
        const visibleAtMs = this.clock.monotonicMs() + this.limits.eventLagMs;
        this.events.push({ sequence: this.sequence, kind, prefixHash, visibleAtMs });
        this.events = this.events.slice(-MAX_EVENTS);
    }
}

import type { EventFilter } from "./EventFilter.js";
import type { HybridClock } from "./HybridClock.js";
import type { EventRecorder } from "./ports/EventRecorder.js";
import type { StampedEvent } from "./StampedEvent.js";
import type { TimelineEvent } from "./TimelineEvent.js";

interface EventRingOptions {
    hybridClock: HybridClock;
    process: string;
    zone: string;
    /** Number of events kept. Older events are dropped and counted. */
    capacity: number;
}

/** The timeline of one process: a ring buffer that keeps the newest events. */
export class EventRing implements EventRecorder {
    private readonly slots: StampedEvent[] = [];
    private recorded = 0;

    private constructor(private readonly options: EventRingOptions) {}

    /** Creates an empty ring. */
    static create(options: EventRingOptions): EventRing {
        return new EventRing(options);
    }

    /** Number of events that newer ones have overwritten since the start. */
    get dropped(): number {
        return Math.max(0, this.recorded - this.options.capacity);
    }

    /** Adds the timestamp, the process and its zone to the event and keeps it. */
    record(event: TimelineEvent): void {
        const stamped = {
            ...event,
            ...(event.durationMs !== undefined && { durationMs: Math.round(event.durationMs) }),
            at: this.options.hybridClock.next(),
            process: this.options.process,
            processZone: this.options.zone,
        };
        this.slots[this.recorded % this.options.capacity] = stamped;
        this.recorded += 1;
    }

    /** Returns the events that match the filter, oldest first. */
    read(filter: EventFilter): StampedEvent[] {
        const start = this.recorded > this.options.capacity ? this.recorded % this.options.capacity : 0;
        const ordered = [...this.slots.slice(start), ...this.slots.slice(0, start)];
        const matching = ordered.filter(event => matches(event, filter));
        return filter.limit === undefined ? matching : matching.slice(-filter.limit);
    }
}

function matches(event: StampedEvent, filter: EventFilter): boolean {
    return (filter.requestId === undefined || event.requestId === filter.requestId)
        && (filter.group === undefined || event.group === filter.group)
        && (filter.vm === undefined || event.vm === filter.vm);
}

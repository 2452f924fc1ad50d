import type { EventRecorder, TimelineEvent } from "@fescuehaven/telemetry";

/** Keeps every timeline event in memory for assertions. */
export class MemoryEventRecorder implements EventRecorder {
    /** Events so far, oldest first. */
    readonly events: TimelineEvent[] = [];

    private constructor() {}

    /** Creates an empty recorder. */
    static create(): MemoryEventRecorder {
        return new MemoryEventRecorder();
    }

    /** Appends the event to `events`. */
    record(event: TimelineEvent): void {
        this.events.push(event);
    }

    /** Returns the events of one kind, oldest first. */
    ofKind(kind: TimelineEvent["kind"]): TimelineEvent[] {
        return this.events.filter(event => event.kind === kind);
    }
}

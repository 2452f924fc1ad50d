import type { EventRecorder, TimelineEvent } from "@fescuehaven/telemetry";

/** Keeps every event for assertions. */
export class MemoryEventRecorder implements EventRecorder {
    /** Events so far, oldest first. */
    readonly events: TimelineEvent[] = [];

    private constructor() {}

    /** Creates an empty recorder. */
    static create(): MemoryEventRecorder {
        return new MemoryEventRecorder();
    }

    /** Keeps the event. */
    record(event: TimelineEvent): void {
        this.events.push(event);
    }

    /** The events of one kind. */
    ofKind(kind: TimelineEvent["kind"]): TimelineEvent[] {
        return this.events.filter(event => event.kind === kind);
    }
}

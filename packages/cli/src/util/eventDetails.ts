import type { StampedEvent } from "@fescuehaven/telemetry";

/** Formats the fields of an event other than its time, process and kind, as `name=value`. */
export function eventDetails(event: StampedEvent): string {
    const { at: _at, process: _process, processZone: _zone, kind: _kind, ...rest } = event;
    return Object.entries(rest).map(([name, value]) => `${name}=${value}`).join(" ");
}

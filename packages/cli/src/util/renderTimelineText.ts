import type { TimelineReport } from "../TimelineReport.js";
import { eventDetails } from "./eventDetails.js";
import { renderTable } from "./renderTable.js";

/** Renders one line for each event, then lines about unreachable processes and discarded events. */
export function renderTimelineText(report: TimelineReport): string[] {
    const rows = report.events.map(event => [
        new Date(event.at.wallMs).toISOString(),
        event.process,
        event.kind,
        eventDetails(event),
    ]);
    const missing = report.unreachable.map(name => `not reached: ${name}`);
    const dropped = Object.entries(report.dropped).map(([name, count]) =>
        `${name}: ${count} older events were discarded`
    );
    return [...renderTable([["TIME", "PROCESS", "EVENT", "DETAILS"], ...rows]), ...missing, ...dropped];
}

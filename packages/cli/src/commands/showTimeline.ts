import { compareTimestamps, type EventFilter, type StampedEvent } from "@fescuehaven/telemetry";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { TimelineReport } from "../TimelineReport.js";
import { renderTimelineHtml } from "../util/renderTimelineHtml.js";
import { renderTimelineText } from "../util/renderTimelineText.js";

/** Arguments of `fescue timeline`. */
interface TimelineRequest extends EventFilter {
    /** Show only events that were recorded by processes of this availability zone or that are about it. */
    zone?: string;
    format: "text" | "json" | "html";
}

const renderers: Record<TimelineRequest["format"], (report: TimelineReport) => string[]> = {
    text: renderTimelineText,
    json: report => [JSON.stringify(report, undefined, 2)],
    html: renderTimelineHtml,
};

/** Prints the merged timelines of all processes in causal order, and lists the processes that did not respond. */
export async function showTimeline(context: CommandContext, request: TimelineRequest): Promise<CommandOutcome> {
    const { zone, format, ...filter } = request;
    const report: TimelineReport = { events: [], unreachable: [], dropped: {} };
    await Promise.all(context.processes.map(async peer => {
        const response = await context.reader.events(peer, filter);
        if (!response) {
            report.unreachable.push(peer.name);
            return;
        }
        report.events.push(...response.events.filter(event => concernsZone(event, zone)));
        if (response.dropped > 0) {
            report.dropped[peer.name] = response.dropped;
        }
    }));
    report.events.sort((left, right) =>
        compareTimestamps(left.at, right.at) || left.process.localeCompare(right.process)
    );
    if (request.limit !== undefined) {
        report.events = report.events.slice(-request.limit);
    }
    report.unreachable.sort();
    renderers[format](report).forEach(line => context.output.line(line));
    return report.unreachable.length > 0 ? "partial" : "done";
}

function concernsZone(event: StampedEvent, zone: string | undefined): boolean {
    return zone === undefined || event.processZone === zone || event.zone === zone;
}

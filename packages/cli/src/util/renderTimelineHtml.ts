import type { StampedEvent } from "@fescuehaven/telemetry";
import type { TimelineReport } from "../TimelineReport.js";
import { eventDetails } from "./eventDetails.js";

const ROW_HEIGHT_PX = 22;
const LANE_WIDTH_PX = 170;
const TIME_WIDTH_PX = 210;
const HEADER_HEIGHT_PX = 40;
const DETAIL_WIDTH_PX = 700;

/** Renders a self-contained HTML page with one lane for each process and one row for each event, in causal order. */
export function renderTimelineHtml(report: TimelineReport): string[] {
    const lanes = [...new Set(report.events.map(event => event.process))].sort();
    const height = HEADER_HEIGHT_PX + ROW_HEIGHT_PX * (report.events.length + 1);
    const width = TIME_WIDTH_PX + LANE_WIDTH_PX * lanes.length + DETAIL_WIDTH_PX;
    return [
        '<!doctype html><html lang="en"><meta charset="utf-8"><title>Timeline</title>',
        "<style>body{font:13px sans-serif}text{font:12px monospace}.lane{stroke:#ccc}.event{fill:#246}</style>",
        ...missingDataNotes(report),
        `<svg width="${width}" height="${height}" xmlns="http://www.w3.org/2000/svg">`,
        ...lanes.map((lane, index) => renderLane(lane, index, height)),
        ...report.events.map((event, row) => renderEvent(event, row, lanes)),
        "</svg></html>",
    ];
}

function missingDataNotes(report: TimelineReport): string[] {
    const unreachable = report.unreachable.map(name => `<p>Not reached: ${escapeHtml(name)}</p>`);
    const dropped = Object.entries(report.dropped).map(([name, count]) =>
        `<p>${escapeHtml(name)}: ${count} older events were discarded</p>`
    );
    return [...unreachable, ...dropped];
}

function renderLane(lane: string, index: number, height: number): string {
    const x = laneCenter(index);
    return `<text x="${x}" y="20" text-anchor="middle">${escapeHtml(lane)}</text>`
        + `<line class="lane" x1="${x}" y1="28" x2="${x}" y2="${height}"/>`;
}

function renderEvent(event: StampedEvent, row: number, lanes: readonly string[]): string {
    const y = HEADER_HEIGHT_PX + ROW_HEIGHT_PX * row;
    const x = laneCenter(lanes.indexOf(event.process));
    const detailX = TIME_WIDTH_PX + LANE_WIDTH_PX * lanes.length;
    const time = new Date(event.at.wallMs).toISOString();
    return `<text x="0" y="${y + 4}">${time}</text><circle class="event" cx="${x}" cy="${y}" r="5"/>`
        + `<text x="${detailX}" y="${y + 4}">${escapeHtml(`${event.kind} ${eventDetails(event)}`)}</text>`;
}

function laneCenter(index: number): number {
    return TIME_WIDTH_PX + LANE_WIDTH_PX * index + LANE_WIDTH_PX / 2;
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}

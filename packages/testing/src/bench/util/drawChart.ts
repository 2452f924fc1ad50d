import type { ExperimentResult } from "../ExperimentResult.js";

const BAR_HEIGHT_PX = 22;
const LABEL_WIDTH_PX = 320;
const BAR_WIDTH_PX = 480;
const MARGIN_PX = 12;

/** Returns a bar chart of a result's `chartColumn` as SVG. */
export function drawChart(title: string, result: ExperimentResult): string {
    const rows = result.rows.filter(row => row.values[result.chartColumn] !== undefined);
    const largest = Math.max(...rows.map(row => row.values[result.chartColumn] ?? 0), Number.MIN_VALUE);
    const bars = rows.map((row, index) => {
        const value = row.values[result.chartColumn] ?? 0;
        const y = MARGIN_PX + (index + 1) * BAR_HEIGHT_PX;
        const width = Math.max(1, (value / largest) * BAR_WIDTH_PX);
        const fill = row.variant === result.baseline ? "#999" : "#2a6f97";
        const label = escapeXml(`${row.variant} ${row.phase}`.trim());
        return `<text x="${MARGIN_PX}" y="${y + 15}">${label}</text>`
            + `<rect x="${LABEL_WIDTH_PX}" y="${y + 3}" width="${width}" height="${BAR_HEIGHT_PX - 6}" fill="${fill}"/>`
            + `<text x="${LABEL_WIDTH_PX + width + 6}" y="${y + 15}">${Number(value.toPrecision(4))}</text>`;
    });
    const height = 2 * MARGIN_PX + (rows.length + 1) * BAR_HEIGHT_PX;
    const width = LABEL_WIDTH_PX + BAR_WIDTH_PX + 100;
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" `
        + `font-size="12"><text x="${MARGIN_PX}" y="${MARGIN_PX + 8}" font-weight="bold">${escapeXml(title)}: `
        + `${escapeXml(result.chartColumn)}</text>${bars.join("")}</svg>\n`;
}

function escapeXml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}

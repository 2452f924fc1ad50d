import type { ExperimentResult } from "../ExperimentResult.js";

/** Decimal places of values below 100. */
const DIGITS = 3;

/** Formats the rows of a result as a plain-text table. */
export function formatTable(result: ExperimentResult): string {
    const columns = [...new Set(result.rows.flatMap(row => Object.keys(row.values)))];
    const lines = [
        ["variant", "phase", ...columns],
        ...result.rows.map(row => [
            row.variant === result.baseline ? `${row.variant} (baseline)` : row.variant,
            row.phase,
            ...columns.map(column => formatValue(row.values[column])),
        ]),
    ];
    const widths = lines[0]?.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0))) ?? [];
    return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ").trimEnd()).join(
        "\n",
    );
}

function formatValue(value: number | undefined): string {
    if (value === undefined) {
        return "-";
    }
    return Number.isInteger(value) ? String(value) : value.toFixed(Math.abs(value) < 100 ? DIGITS : 1);
}

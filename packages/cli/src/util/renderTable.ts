/** Formats rows as aligned columns, one line for each row; the first row is the heading. */
export function renderTable(rows: readonly (readonly string[])[]): string[] {
    const widths: number[] = [];
    for (const row of rows) {
        row.forEach((cell, column) => widths[column] = Math.max(widths[column] ?? 0, cell.length));
    }
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}

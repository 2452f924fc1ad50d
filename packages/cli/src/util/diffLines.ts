/** Returns the lines that differ between two JSON values, prefixed with `- ` (removed) or `+ ` (added). */
export function diffLines(before: unknown, after: unknown): string[] {
    const oldLines = linesOf(before);
    const newLines = linesOf(after);
    const removed = oldLines.filter(line => !newLines.includes(line));
    const added = newLines.filter(line => !oldLines.includes(line));
    return [...removed.map(line => `- ${line}`), ...added.map(line => `+ ${line}`)];
}

/** Returns one line for each leaf value, as `path: value`. */
function linesOf(value: unknown, path = ""): string[] {
    if (typeof value !== "object" || !value) {
        return value === undefined ? [] : [`${path}: ${JSON.stringify(value)}`];
    }
    return Object.entries(value).flatMap(([key, item]) => linesOf(item, path ? `${path}.${key}` : key));
}

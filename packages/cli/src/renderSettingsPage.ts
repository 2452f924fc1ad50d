import { z } from "zod";
import { settingsSchemas } from "./settingsSchemas.js";
import { settingsRows } from "./util/settingsRows.js";

const INTRODUCTION = [
    "# Settings",
    "",
    "Generated from the schemas by `npm run docs`. Each binary reads one JSON file and checks all of it at start:",
    "every error is listed with its path, and the exit code is 2. `fescue settings check BINARY FILE` checks a file",
    "without starting anything, `fescue settings schema BINARY` prints the JSON Schema. Unknown fields are errors.",
];

/** Returns the reference page of all settings as Markdown. */
export function renderSettingsPage(): string {
    const sections = Object.entries(settingsSchemas).flatMap(([binary, schema]) => [
        "",
        `## ${binary}`,
        "",
        "| field | value | default | meaning |",
        "| --- | --- | --- | --- |",
        ...settingsRows(z.toJSONSchema(schema, { io: "input" }) as Parameters<typeof settingsRows>[0])
            .map(row => `| ${row.map((cell, column) => formatCell(cell, column)).join(" | ")} |`),
    ]);
    return [...INTRODUCTION, ...sections, ""].join("\n");
}

function formatCell(cell: string, column: number): string {
    const escaped = cell.replaceAll("|", "\\|");
    return column === 0 ? `\`${escaped}\`` : escaped;
}

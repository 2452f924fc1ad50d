import { writeFile } from "node:fs/promises";
import path from "node:path";
import { renderSettingsPage } from "../packages/cli/src/renderSettingsPage.js";

// Writes the pages that are generated from schemas.
const root = path.resolve(import.meta.dirname, "..");
await writeFile(path.join(root, "docs", "operators", "settings.md"), renderSettingsPage());

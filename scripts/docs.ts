import { writeFile } from "node:fs/promises";
import path from "node:path";
import { renderSettingsPage } from "../packages/cli/src/renderSettingsPage.js";

// Generates the settings page for operators from the settings schemas.
const root = path.resolve(import.meta.dirname, "..");
await writeFile(path.join(root, "docs", "operators", "settings.md"), renderSettingsPage());

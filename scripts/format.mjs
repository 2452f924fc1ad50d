import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import path from "node:path";

// Formats all source files as dprint.json says, with the formatter's plugin in this process: the program of the same
// name needs a newer C library than some machines have. With --check, files are only checked: exit 1 if any differs.
const root = path.resolve(import.meta.dirname, "..");
const isCheck = process.argv.includes("--check");
const { excludes, plugins: _plugins, typescript, ...globalSettings } = JSON.parse(
    readFileSync(path.join(root, "dprint.json"), "utf8"),
);
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig(globalSettings, typescript);
const problems = formatter.getConfigDiagnostics();
if (problems.length > 0) {
    throw new Error(`dprint.json: ${problems.map(({ message }) => message).join("; ")}`);
}
const extensions = new Set(formatter.getFileMatchingInfo().fileExtensions);

const listed = spawnSync("git", ["ls-files", "--cached", "--others", "--exclude-standard"], {
    cwd: root,
    encoding: "utf8",
});
if (listed.status !== 0) {
    throw new Error(`git ls-files: ${listed.stderr}`);
}
/** Names of files and folders that are left out: every pattern is one of these at any depth. */
const excludedNames = new Set(excludes.map(pattern => pattern.replace("**/", "")));
const isExcluded = file =>
    excludedNames.has(`*${path.extname(file)}`) || file.split("/").some(part => excludedNames.has(part));
const files = listed.stdout.split("\n").filter(file =>
    extensions.has(path.extname(file).slice(1)) && !isExcluded(file) && existsSync(path.join(root, file))
);
const different = files.filter(file => {
    const fileText = readFileSync(path.join(root, file), "utf8");
    const formatted = formatter.formatText({ filePath: file, fileText });
    if (!isCheck && formatted !== fileText) {
        writeFileSync(path.join(root, file), formatted);
    }
    return formatted !== fileText;
});
different.forEach(file => console.log(`${isCheck ? "not formatted" : "formatted"}: ${file}`));
console.log(`${files.length} files checked, ${different.length} ${isCheck ? "not formatted" : "formatted"}`);
process.exitCode = isCheck && different.length > 0 ? 1 : 0;

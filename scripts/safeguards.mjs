import { spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { safeguards } from "./safeguards/table.mjs";

// Removes each safeguard in turn from a copy of the code and checks that its test passes with it and fails without it.
// Usage: node scripts/safeguards.mjs [TEXT]; with TEXT, only safeguards whose "promise: name" contains it are checked.
const root = path.resolve(import.meta.dirname, "..");
const filter = process.argv[2] ?? "";
const loader = import.meta.resolve("tsx");
const TEST_TIMEOUT_MS = 120_000;

/** Copies the packages to a temporary directory, where imports of @fescuehaven/* resolve to the copies. */
function createCopy() {
    const copy = mkdtempSync(path.join(tmpdir(), "fescue-safeguards-"));
    cpSync(path.join(root, "packages"), path.join(copy, "packages"), { recursive: true });
    cpSync(path.join(root, "platform"), path.join(copy, "platform"), { recursive: true });
    cpSync(path.join(root, "package.json"), path.join(copy, "package.json"));
    cpSync(path.join(root, "tsconfig.json"), path.join(copy, "tsconfig.json"));
    const modules = path.join(copy, "node_modules");
    mkdirSync(path.join(modules, "@fescuehaven"), { recursive: true });
    for (const name of readdirSync(path.join(root, "node_modules")).filter(name => name !== "@fescuehaven")) {
        symlinkSync(path.join(root, "node_modules", name), path.join(modules, name));
    }
    for (const name of readdirSync(path.join(copy, "packages"))) {
        symlinkSync(path.join(copy, "packages", name), path.join(modules, "@fescuehaven", name));
    }
    symlinkSync(path.join(copy, "platform"), path.join(modules, "@fescuehaven", "platform-adapter"));
    return copy;
}

/**
 * Runs the tests of a file whose titles contain `grep`; returns how many passed and failed. The report is written to a
 * file, because a pipe would stay open for as long as the compiler's process outlives the tests.
 */
function runTests(copy, file, grep) {
    const mocha = path.join(root, "node_modules", "mocha", "bin", "mocha.js");
    const report = path.join(copy, "report.json");
    const options = ["--no-config", "--timeout", "30000", "--exit"];
    const reporter = ["--reporter", "json", "--reporter-option", `output=${report}`];
    rmSync(report, { force: true });
    const result = spawnSync(
        process.execPath,
        ["--import", loader, mocha, ...options, ...reporter, "--fgrep", grep, file],
        { cwd: copy, stdio: "ignore", timeout: TEST_TIMEOUT_MS },
    );
    try {
        const { stats } = JSON.parse(readFileSync(report, "utf8"));
        return { passed: stats.passes, failed: stats.failures };
    }
    catch {
        return { passed: 0, failed: 0, problem: `no report, exit ${result.status ?? result.signal}` };
    }
}

/** Checks one safeguard; `details` gives the tests passed/failed with and without it, or why it wasn't checked. */
function check(copy, safeguard) {
    const file = path.join(copy, safeguard.file);
    const original = readFileSync(file, "utf8");
    const count = original.split(safeguard.find).length - 1;
    if (count !== 1) {
        return { isEffective: false, details: `the text to replace occurs ${count} times in ${safeguard.file}` };
    }
    const intact = runTests(copy, safeguard.test, safeguard.grep);
    writeFileSync(file, original.replace(safeguard.find, () => safeguard.replace));
    const without = runTests(copy, safeguard.test, safeguard.grep);
    writeFileSync(file, original);
    const isEffective = intact.passed > 0 && intact.failed === 0 && without.failed > 0;
    const problem = intact.problem ?? without.problem ?? "";
    return {
        isEffective,
        details: `with ${intact.passed}/${intact.failed}, without ${without.passed}/${without.failed} ${problem}`,
    };
}

const copy = createCopy();
let passed = 0;
let failed = 0;
try {
    for (const safeguard of safeguards.filter(item => `${item.promise}: ${item.name}`.includes(filter))) {
        const { isEffective, details } = check(copy, safeguard);
        passed += isEffective ? 1 : 0;
        failed += isEffective ? 0 : 1;
        console.log(`${isEffective ? "ok  " : "FAIL"} ${safeguard.promise}: ${safeguard.name} (${details.trim()})`);
    }
}
finally {
    rmSync(copy, { recursive: true, force: true });
}
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;

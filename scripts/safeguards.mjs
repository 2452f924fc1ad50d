import { spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { safeguards } from "./safeguards/table.mjs";

// Takes each safeguard out of a copy of the code and checks that the test that is there for it fails.
const root = path.resolve(import.meta.dirname, "..");
const wanted = process.argv[2] ?? "";
const loader = import.meta.resolve("tsx");
const TEST_TIMEOUT_MS = 120_000;

/** A copy of the packages whose own modules are those of the copy. */
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
 * Runs the tests of a file whose titles hold `grep`; gives the number that passed and failed. The report goes through a
 * file: a pipe would stay open for as long as the compiler's own process outlives the tests.
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

/** The verdict on one safeguard, and what was seen. */
function check(copy, safeguard) {
    const file = path.join(copy, safeguard.file);
    const original = readFileSync(file, "utf8");
    const count = original.split(safeguard.find).length - 1;
    if (count !== 1) {
        return { isGood: false, seen: `the text to take out stands ${count} times in ${safeguard.file}` };
    }
    const whole = runTests(copy, safeguard.test, safeguard.grep);
    writeFileSync(file, original.replace(safeguard.find, () => safeguard.replace));
    const without = runTests(copy, safeguard.test, safeguard.grep);
    writeFileSync(file, original);
    const isGood = whole.passed > 0 && whole.failed === 0 && without.failed > 0;
    const problem = whole.problem ?? without.problem ?? "";
    return {
        isGood,
        seen: `whole ${whole.passed}/${whole.failed}, without ${without.passed}/${without.failed} ${problem}`,
    };
}

const copy = createCopy();
let passed = 0;
let failed = 0;
try {
    for (const safeguard of safeguards.filter(item => `${item.promise}: ${item.name}`.includes(wanted))) {
        const { isGood, seen } = check(copy, safeguard);
        passed += isGood ? 1 : 0;
        failed += isGood ? 0 : 1;
        console.log(`${isGood ? "ok  " : "FAIL"} ${safeguard.promise}: ${safeguard.name} (${seen.trim()})`);
    }
}
finally {
    rmSync(copy, { recursive: true, force: true });
}
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;

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
    return copy;
}

/** Runs the tests of a file whose titles hold `grep`; gives the number that passed and failed. */
function runTests(copy, file, grep) {
    const args = ["--no-config", "--timeout", "30000", "--exit", "--reporter", "json"];
    const result = spawnSync(
        process.execPath,
        [
            "--import",
            loader,
            path.join(root, "node_modules", "mocha", "bin", "mocha.js"),
            ...args,
            "--fgrep",
            grep,
            file,
        ],
        { cwd: copy, encoding: "utf8", timeout: TEST_TIMEOUT_MS, maxBuffer: 64 * 1024 * 1024 },
    );
    try {
        const { stats } = JSON.parse(result.stdout.slice(result.stdout.indexOf('{\n  "stats"')));
        return { passed: stats.passes, failed: stats.failures };
    }
    catch {
        return { passed: 0, failed: 0, problem: (result.stderr || result.stdout).slice(-300) };
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

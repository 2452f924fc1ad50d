// Checks every model of this directory with Spin: the whole model must hold, exhaustively within its bounds, and the
// removal of each safeguard must give a counterexample by the assertion that the safeguard is there for.
import { spawn } from "node:child_process";
import { mkdir, rm } from "node:fs/promises";
import path from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";

const SPEC_DIRECTORY = path.dirname(fileURLToPath(import.meta.url));
const OUT_DIRECTORY = path.join(SPEC_DIRECTORY, "out");
const PARALLEL_RUNS = 4;
const RUN_MEMORY_MB = 1000;
const SEARCH_DEPTH = 5_000_000;
const RUN_TIMEOUT_MS = 200_000;

const AT_MOST_ONCE = "executions<=1";
const WINDOW = "observed[i]==epoch";
const NO_RETURN = "knownRemoval";

/** Each model: its bounds, and each safeguard's switch with part of the assertion that must fail without it. */
const MODELS = [
    {
        file: "claims.pml",
        bounds: [["MAX_EPOCH=2", "WRITES=2"], ["MAX_EPOCH=3", "WRITES=1"]],
        switches: {
            NO_CONDITIONAL_UPDATE: "groupMask[0]&groupMask[1]",
            ASSUME_COMMITTED: "assumed[",
            NO_FENCE_CHECK: ">=ledgerFence",
            FREE_UNSEEN: "hasLeft[i]",
            EARLY_OBSERVATION: "hasLeft[i]",
        },
    },
    {
        file: "readiness.pml",
        bounds: [[]],
        switches: {
            NO_EXPIRY: WINDOW,
            HEAD_EVIDENCE_ONLY: WINDOW,
            NO_EPOCH_MATCH: WINDOW,
            NO_RECHECK: WINDOW,
            NO_HEAD_EPOCH_CHECK: "||(loaded[i]==epoch)",
            NO_HEAD_MEMBER_CHECK: "||(loaded[i]==epoch)",
            NO_ENGINE_FENCING: ">=highest[vm]",
        },
    },
    {
        file: "configuration.pml",
        bounds: [["PROCESSES=3"]],
        switches: {
            NO_REVISION_CHECK: ">held[",
            NO_TOMBSTONES: NO_RETURN,
            NO_COVERED_CHECK: NO_RETURN,
            LAGGING_LISTING_COUNTS: NO_RETURN,
            LISTING_REMOVES_NEWER: ">held[",
            NO_COVER_EXCHANGE: "gone[q]",
        },
    },
    {
        file: "journal.pml",
        bounds: [[]],
        switches: {
            NO_CONDITIONAL_UPDATE: AT_MOST_ONCE,
            NO_CLAIMANT_ID: AT_MOST_ONCE,
            ASSUME_COMMITTED: AT_MOST_ONCE,
            RELEASE_AFTER_SEND: AT_MOST_ONCE,
            RELEASE_BY_OTHERS: AT_MOST_ONCE,
            REFUSE_AFTER_SEND: "executed[a]",
            REPEAT_FINISHED: AT_MOST_ONCE,
            NO_AGE_CHECK: AT_MOST_ONCE,
            NO_CLOCK_ALLOWANCE: AT_MOST_ONCE,
            CHECK_AGE_BEFORE_ONLY: AT_MOST_ONCE,
        },
    },
];

/** Every run: the whole models first, since they take longest. */
function listRuns() {
    const whole = MODELS.flatMap(({ file, bounds }) => bounds.map(bound => ({ file, bound })));
    const removals = MODELS.flatMap(({ file, bounds, switches }) =>
        Object.entries(switches).map(([removed, expected]) => ({ file, bound: bounds[0], removed, expected }))
    );
    return [...whole, ...removals];
}

function execute(command, args, cwd) {
    return new Promise((resolve, reject) => {
        const child = spawn(command, args, { cwd, timeout: RUN_TIMEOUT_MS });
        let output = "";
        child.stdout.on("data", chunk => output += chunk);
        child.stderr.on("data", chunk => output += chunk);
        child.on("error", reject);
        child.on("close", code => resolve({ code, output }));
    });
}

async function build(run, directory) {
    const defines = [...run.bound, ...(run.removed ? [run.removed] : [])].map(name => `-D${name}`);
    const spin = await execute("spin", [...defines, "-a", path.join(SPEC_DIRECTORY, run.file)], directory);
    if (spin.code !== 0 || /error/i.test(spin.output)) {
        throw new Error(`spin refused ${run.file}: ${spin.output}`);
    }
    const memory = `-DMEMLIM=${RUN_MEMORY_MB}`;
    const compiler = await execute(
        "cc",
        ["-w", "-O2", "-DSAFETY", "-DNOREDUCE", memory, "-o", "pan", "pan.c"],
        directory,
    );
    if (compiler.code !== 0) {
        throw new Error(`cc failed on ${run.file}: ${compiler.output}`);
    }
}

/** Why a search that found no error does not count as exhaustive, or undefined. */
function truncation(output) {
    const signs = ["max search depth too small", "out of memory", "memory limit", "interrupted", "Bit statespace"];
    return signs.find(sign => output.includes(sign))
        ?? (output.includes("Full statespace search") ? undefined : "no full search reported");
}

/** Steps of a model that its bounds never reach: such a model would prove less than it says. */
function unreachedSteps(output) {
    return [...output.matchAll(/state \d+, "(.*)"/g)].map(match => match[1]).filter(step => step !== "-end-");
}

function judge(run, output) {
    const errors = /errors: (\d+)/.exec(output)?.[1];
    const violated = /pan:\d+: (.*)/.exec(output)?.[1] ?? "";
    if (run.removed) {
        const bites = errors !== undefined && Number(errors) > 0 && violated.includes("assertion violated")
            && violated.includes(run.expected);
        return {
            passed: bites,
            verdict: bites ? "counterexample, as expected" : `NO SUCH COUNTEREXAMPLE (${violated})`,
        };
    }
    const truncated = truncation(output);
    const unreached = unreachedSteps(output);
    if (errors === "0" && !truncated && unreached.length > 0) {
        return { passed: false, verdict: `FAILS: never reached: ${unreached.join(" | ")}` };
    }
    if (errors === "0" && !truncated) {
        return { passed: true, verdict: "holds, exhaustive" };
    }
    return { passed: false, verdict: `FAILS: ${violated || truncated}` };
}

async function check(run, index) {
    const startMs = performance.now();
    const directory = path.join(OUT_DIRECTORY, String(index));
    await mkdir(directory, { recursive: true });
    await build(run, directory);
    const { output } = await execute("./pan", [`-m${SEARCH_DEPTH}`], directory);
    const { passed, verdict } = judge(run, output);
    const states = /(\S+) states, stored/.exec(output)?.[1] ?? "?";
    const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
    const name = [run.file, ...run.bound, run.removed ? `without ${run.removed}` : "whole"].join(" ");
    console.log(`${name}: ${states} states, ${verdict}, ${seconds} s`);
    return passed;
}

async function main() {
    await rm(OUT_DIRECTORY, { recursive: true, force: true });
    const waiting = listRuns().map((run, index) => ({ run, index }));
    const results = [];
    const worker = async () => {
        for (let next = waiting.shift(); next; next = waiting.shift()) {
            results.push(await check(next.run, next.index));
        }
    };
    await Promise.all(Array.from({ length: PARALLEL_RUNS }, worker));
    const passed = results.filter(Boolean).length;
    console.log(`${passed} passed, ${results.length - passed} failed`);
    process.exitCode = passed === results.length ? 0 : 1;
}

await main();

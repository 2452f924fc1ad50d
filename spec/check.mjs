// Checks every model in this directory with Spin. An intact model, with all its safeguards, must hold in an exhaustive
// search within its bounds. Without one of them, it must violate the assertion that this safeguard protects.
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
const WITHIN_EVIDENCE_WINDOW = "observed[i]==epoch";
const REMOVAL_IS_FINAL = "knownRemoval";
const ONE_GATEWAY_PER_TERM = "acceptedFrom==g";
const TERMS_NEVER_GO_BACK = "orderTerm[g]>=acceptedTerm";
const NO_HEAD_WAITS = "!(isHeadWaiting)";
const REPLACES_WHAT_IT_READ = "term==readTerm[g]";

/** Models with their bounds. `switches` maps each switch to a part of the assertion that must fail when it is set. */
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
            NO_EXPIRY: WITHIN_EVIDENCE_WINDOW,
            HEAD_EVIDENCE_ONLY: WITHIN_EVIDENCE_WINDOW,
            NO_EPOCH_MATCH: WITHIN_EVIDENCE_WINDOW,
            NO_RECHECK: WITHIN_EVIDENCE_WINDOW,
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
            NO_TOMBSTONES: REMOVAL_IS_FINAL,
            NO_COVERED_CHECK: REMOVAL_IS_FINAL,
            LAGGING_LISTING_COUNTS: REMOVAL_IS_FINAL,
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
            NO_LOSS_CHECK: AT_MOST_ONCE,
        },
    },
    {
        file: "lease.pml",
        bounds: [[]],
        switches: {
            NO_ERA_CHECK: REPLACES_WHAT_IT_READ,
            ACCEPT_OTHER_ERA: ONE_GATEWAY_PER_TERM,
            NO_UPSTREAM_TERM: TERMS_NEVER_GO_BACK,
            NO_ORDER_COUNT: TERMS_NEVER_GO_BACK,
            NO_PEER_TERMS: ONE_GATEWAY_PER_TERM,
            NO_CONDITIONAL_UPDATE: REPLACES_WHAT_IT_READ,
            ASSUME_COMMITTED: ONE_GATEWAY_PER_TERM,
        },
    },
    {
        file: "takeover.pml",
        bounds: [[]],
        switches: {
            NO_PRECONDITION: NO_HEAD_WAITS,
            NO_REPORT_CHECK: NO_HEAD_WAITS,
            NO_LEFT_CHECK: NO_HEAD_WAITS,
            NO_TERM_WAIT: NO_HEAD_WAITS,
        },
    },
];

/** Returns all runs, intact models first, since they take longest. */
function listRuns() {
    const intactModels = MODELS.flatMap(({ file, bounds }) => bounds.map(bound => ({ file, bound })));
    const removals = MODELS.flatMap(({ file, bounds, switches }) =>
        Object.entries(switches).map(([removed, expected]) => ({ file, bound: bounds[0], removed, expected }))
    );
    return [...intactModels, ...removals];
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
        throw new Error(`spin rejected ${run.file}: ${spin.output}`);
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

/** Returns why a search that found no error was not exhaustive, or undefined if it was. */
function truncationReason(output) {
    const reasons = ["max search depth too small", "out of memory", "memory limit", "interrupted", "Bit statespace"];
    return reasons.find(reason => output.includes(reason))
        ?? (output.includes("Full statespace search") ? undefined : "no full search reported");
}

/** Returns the steps that a model never reaches within its bounds: with any, it would prove less than it claims. */
function unreachedSteps(output) {
    return [...output.matchAll(/state \d+, "(.*)"/g)].map(match => match[1]).filter(step => step !== "-end-");
}

function evaluate(run, output) {
    const errors = /errors: (\d+)/.exec(output)?.[1];
    const violation = /pan:\d+: (.*)/.exec(output)?.[1] ?? "";
    if (run.removed) {
        const foundExpected = errors !== undefined && Number(errors) > 0 && violation.includes("assertion violated")
            && violation.includes(run.expected);
        return {
            passed: foundExpected,
            verdict: foundExpected ? "counterexample, as expected" : `EXPECTED COUNTEREXAMPLE NOT FOUND (${violation})`,
        };
    }
    const truncated = truncationReason(output);
    const unreached = unreachedSteps(output);
    if (errors === "0" && !truncated && unreached.length > 0) {
        return { passed: false, verdict: `FAILS: never reached: ${unreached.join(" | ")}` };
    }
    if (errors === "0" && !truncated) {
        return { passed: true, verdict: "holds, exhaustive" };
    }
    return { passed: false, verdict: `FAILS: ${violation || truncated}` };
}

async function check(run, index) {
    const startMs = performance.now();
    const directory = path.join(OUT_DIRECTORY, String(index));
    await mkdir(directory, { recursive: true });
    await build(run, directory);
    const { output } = await execute("./pan", [`-m${SEARCH_DEPTH}`], directory);
    const { passed, verdict } = evaluate(run, output);
    const states = /(\S+) states, stored/.exec(output)?.[1] ?? "?";
    const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
    const name = [run.file, ...run.bound, run.removed ? `without ${run.removed}` : "intact"].join(" ");
    console.log(`${name}: ${states} states, ${verdict}, ${seconds} s`);
    return passed;
}

async function main() {
    await rm(OUT_DIRECTORY, { recursive: true, force: true });
    const pending = listRuns().map((run, index) => ({ run, index }));
    const results = [];
    const worker = async () => {
        for (let next = pending.shift(); next; next = pending.shift()) {
            results.push(await check(next.run, next.index));
        }
    };
    await Promise.all(Array.from({ length: PARALLEL_RUNS }, worker));
    const passed = results.filter(Boolean).length;
    console.log(`${passed} passed, ${results.length - passed} failed`);
    process.exitCode = passed === results.length ? 0 : 1;
}

await main();

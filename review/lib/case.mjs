import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

const BROKEN = 1;
const HELD = 0;
const COULD_NOT_RUN = 2;

/**
 * Runs a case: `run` gets a context and returns what broke the rule. Writes the record beside the script and exits with 1
 * if the rule was broken, 0 if it held and 2 if the case could not run. Everything in `context.closers` is ended before.
 */
export async function runCase(folder, run) {
    const lines = [];
    const startedAtMs = performance.now();
    const record = (what, fields) => {
        const text = fields === undefined ? "" : ` ${JSON.stringify(fields)}`;
        lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${what}${text}`);
    };
    const context = {
        record,
        hasTrouble: process.env.TROUBLE !== "0",
        temporary: mkdtempSync(path.join(tmpdir(), "fescue-review-")),
        closers: [],
    };
    let status = COULD_NOT_RUN;
    let isFinishing = false;
    /** Ends all processes that the case has started, writes the record and exits. */
    const finish = async () => {
        if (isFinishing) {
            return;
        }
        isFinishing = true;
        for (const close of context.closers.splice(0).reverse()) {
            await close();
        }
        writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
        if (process.env.KEEP !== "1") {
            rmSync(context.temporary, { recursive: true, force: true });
        }
        process.exit(status);
    };
    const giveUp = error => {
        if (isFinishing) {
            return;
        }
        record(`could not run: ${error?.stack ?? error}`);
        console.log(`could not run: ${error?.message ?? error}`);
        status = COULD_NOT_RUN;
        void finish();
    };
    process.on("uncaughtException", giveUp);
    for (const name of ["SIGINT", "SIGTERM"]) {
        process.once(name, () => giveUp(new Error(name)));
    }
    try {
        const broken = await run(context);
        broken.forEach(text => record(`BROKEN ${text}`));
        status = broken.length > 0 ? BROKEN : HELD;
        console.log(broken.length > 0 ? `broken:\n${broken.slice(0, 5).join("\n")}` : "the rule held");
    }
    catch (error) {
        giveUp(error);
        return;
    }
    await finish();
}

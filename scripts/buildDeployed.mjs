import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFile, mkdir, readFile } from "node:fs/promises";
import path from "node:path";
import { parse } from "smol-toml";

// Builds the programs that deploy/system.toml runs. Each becomes one script with V8's code cache beside it, which saves
// most of the time that a start takes to compile. The cache is only good for the runtime flags with which it was made.
const root = path.resolve(import.meta.dirname, "..");
const { roles } = parse(await readFile(path.join(root, "deploy", "system.toml"), "utf8"));
for (const { run } of Object.values(roles)) {
    const [runtime, ...words] = run.split(" ");
    const flags = words.filter(word => word.startsWith("-"));
    const program = path.join(root, words.find(word => !word.startsWith("-")));
    const name = path.basename(program, ".cjs");
    const script = path.join(path.dirname(program), `${name}.bundle.cjs`);
    await mkdir(path.dirname(program), { recursive: true });
    await build({
        entryPoints: [path.join(root, "platform", "src", "bin", `${name}.ts`)],
        outfile: script,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // Names stay, for stack traces.
        minifyWhitespace: true,
        minifySyntax: true,
        external: ["unix-dgram"],
        logLevel: "warning",
    });
    await copyFile(path.join(root, "scripts", "startCached.cjs"), program);
    // Without settings the program ends once it is loaded.
    const warmUp = spawnSync(runtime, [...flags, program], { env: { ...process.env, FESCUE_WRITE_CODE_CACHE: "1" } });
    if (warmUp.error) {
        throw warmUp.error;
    }
}

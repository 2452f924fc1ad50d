import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFile, mkdir, readFile } from "node:fs/promises";
import path from "node:path";
import { parse } from "smol-toml";

// Builds the programs that deploy/system.toml runs. Each program becomes a bundle with a V8 code cache beside it, which
// saves most of the compile time at startup. The cache is valid only for the runtime flags that it was created with.
const root = path.resolve(import.meta.dirname, "..");
const { roles } = parse(await readFile(path.join(root, "deploy", "system.toml"), "utf8"));
for (const { run } of Object.values(roles)) {
    const [runtime, ...runArguments] = run.split(" ");
    const flags = runArguments.filter(argument => argument.startsWith("-"));
    const program = path.join(root, runArguments.find(argument => !argument.startsWith("-")));
    const name = path.basename(program, ".cjs");
    const bundle = path.join(path.dirname(program), `${name}.bundle.cjs`);
    await mkdir(path.dirname(program), { recursive: true });
    await build({
        entryPoints: [path.join(root, "platform", "src", "bin", `${name}.ts`)],
        outfile: bundle,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // Identifiers aren't minified, so that stack traces stay readable.
        minifyWhitespace: true,
        minifySyntax: true,
        external: ["unix-dgram"],
        logLevel: "warning",
    });
    await copyFile(path.join(root, "scripts", "startCached.cjs"), program);
    // Writes the code cache on exit: without settings the program exits as soon as it is loaded.
    const cacheRun = spawnSync(runtime, [...flags, program], { env: { ...process.env, FESCUE_WRITE_CODE_CACHE: "1" } });
    if (cacheRun.error) {
        throw cacheRun.error;
    }
}

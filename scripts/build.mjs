import { build } from "esbuild";
import { chmod, readdir } from "node:fs/promises";
import path from "node:path";

// Bundles every packages/*/src/bin/NAME.ts into one executable file, dist/NAME.js.
const root = path.resolve(import.meta.dirname, "..");
const entries = [];
for (const name of await readdir(path.join(root, "packages"))) {
    const folder = path.join(root, "packages", name, "src", "bin");
    const files = await readdir(folder).catch(() => []);
    entries.push(...files.filter(file => file.endsWith(".ts")).map(file => path.join(folder, file)));
}
await build({
    entryPoints: entries,
    outdir: path.join(root, "dist"),
    entryNames: "[name]",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    sourcemap: true,
    external: ["unix-dgram"],
    logLevel: "warning",
    banner: {
        js: '#!/usr/bin/env node\nimport { createRequire as fescueCreateRequire } from "node:module";\n'
            + "const require = fescueCreateRequire(import.meta.url);",
    },
});
for (const entry of entries) {
    await chmod(path.join(root, "dist", `${path.basename(entry, ".ts")}.js`), 0o755);
}

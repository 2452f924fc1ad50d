import { build } from "esbuild";
import { chmod, readdir } from "node:fs/promises";
import path from "node:path";

// Bundles every src/bin/NAME.ts of packages/* and platform into one executable file, OUT/NAME.js.
// Usage: node scripts/build.mjs [OUT [NAME...]]; without names, all of them.
const root = path.resolve(import.meta.dirname, "..");
const [out = "dist", ...only] = process.argv.slice(2);
const entries = [];
const members = (await readdir(path.join(root, "packages"))).map(name => path.join("packages", name));
for (const member of [...members, "platform"]) {
    const folder = path.join(root, member, "src", "bin");
    const files = await readdir(folder).catch(() => []);
    entries.push(
        ...files.filter(file =>
            file.endsWith(".ts") && (only.length === 0 || only.includes(path.basename(file, ".ts")))
        )
            .map(file => path.join(folder, file)),
    );
}
await build({
    entryPoints: entries,
    outdir: path.join(root, out),
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
    await chmod(path.join(root, out, `${path.basename(entry, ".ts")}.js`), 0o755);
}

import { build } from "esbuild";
import { chmod, readdir } from "node:fs/promises";
import path from "node:path";

// Bundles each src/bin/NAME.ts of packages/* and platform into an executable file, OUT/NAME.js. OUT defaults to dist.
// Usage: node scripts/build.mjs [OUT [NAME...]]; without names, every program is built.
const root = path.resolve(import.meta.dirname, "..");
const [outDirectory = "dist", ...wantedNames] = process.argv.slice(2);
const programs = [];
const packages = (await readdir(path.join(root, "packages"))).map(name => path.join("packages", name));
for (const packagePath of [...packages, "platform"]) {
    const folder = path.join(root, packagePath, "src", "bin");
    const files = await readdir(folder).catch(() => []);
    programs.push(
        ...files.filter(file =>
            file.endsWith(".ts") && (wantedNames.length === 0 || wantedNames.includes(path.basename(file, ".ts")))
        )
            .map(file => path.join(folder, file)),
    );
}
await build({
    entryPoints: programs,
    outdir: path.join(root, outDirectory),
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
for (const program of programs) {
    await chmod(path.join(root, outDirectory, `${path.basename(program, ".ts")}.js`), 0o755);
}

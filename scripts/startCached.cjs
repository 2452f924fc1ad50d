// Runs the bundle beside this file with its V8 code cache. Without a usable cache, startup works but takes longer.
const fs = require("node:fs");
const Module = require("node:module");
const vm = require("node:vm");

// SIGHUP would end the process. The settings are read later, so there is nothing to reload yet.
process.on("SIGHUP", () => undefined);

const bundle = __filename.replace(/\.cjs$/, ".bundle.cjs");
const cacheFile = `${bundle}.cache`;
const writesCache = process.env.FESCUE_WRITE_CODE_CACHE !== undefined;
const cachedData = !writesCache && fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined;
const script = new vm.Script(Module.wrap(fs.readFileSync(bundle, "utf8")), { filename: bundle, cachedData });
if (writesCache) {
    process.on("exit", () => fs.writeFileSync(cacheFile, script.createCachedData()));
}
else if (script.cachedDataRejected !== false) {
    console.error("V8 code cache missing or rejected; startup takes longer");
}
script.runInThisContext()(exports, require, module, bundle, __dirname);

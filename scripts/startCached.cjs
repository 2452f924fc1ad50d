// Starts the bundle beside this file with its code cache. Without a usable cache the start only takes longer.
const fs = require("node:fs");
const Module = require("node:module");
const vm = require("node:vm");

const bundle = __filename.replace(/\.cjs$/, ".bundle.cjs");
const cacheFile = `${bundle}.cache`;
const isWritten = process.env.FESCUE_WRITE_CODE_CACHE !== undefined;
const cachedData = !isWritten && fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined;
const script = new vm.Script(Module.wrap(fs.readFileSync(bundle, "utf8")), { filename: bundle, cachedData });
if (isWritten) {
    process.on("exit", () => fs.writeFileSync(cacheFile, script.createCachedData()));
}
else if (script.cachedDataRejected !== false) {
    console.error("the code cache is not usable; the start takes longer");
}
script.runInThisContext()(exports, require, module, bundle, __dirname);

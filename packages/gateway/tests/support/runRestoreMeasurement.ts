import { measureRestore } from "./measureRestore.js";

// Measures the recovery from a restore of the store by fleets of the sizes given as arguments.
// Usage: npx tsx packages/gateway/tests/support/runRestoreMeasurement.ts [GATEWAYS ...]
const sizes = process.argv.slice(2).map(Number);
for (const size of sizes.length > 0 ? sizes : [6, 30, 79]) {
    console.log(JSON.stringify(await measureRestore(size)));
}

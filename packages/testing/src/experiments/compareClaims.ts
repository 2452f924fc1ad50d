import { compareLedgerLayouts } from "./compareLedgerLayouts.js";
import type { Comparison } from "./Comparison.js";
import { measureLedgerSize } from "./measureLedgerSize.js";

const ZONE = { vmCount: 100, memberCount: 8, groupCount: 12 };
const LEDGER_SIZES = [
    { vmCount: 100, memberCount: 8 },
    { vmCount: 600, memberCount: 32 },
    { vmCount: 4800, memberCount: 32 },
];

/** Compares one ledger object per zone with one object per VM, and computes how large the ledger gets. */
export const compareClaims: Comparison = {
    description: "one ledger object per zone against one object per VM",
    run: async () => [
        { title: "one controller", rows: rowsOf(await compareLedgerLayouts({ ...ZONE, controllerCount: 1 })) },
        { title: "two controllers", rows: rowsOf(await compareLedgerLayouts({ ...ZONE, controllerCount: 2 })) },
        {
            title: "size of the ledger",
            rows: LEDGER_SIZES.map(size => ({
                ...size,
                ledgerBytes: measureLedgerSize(size.vmCount, size.memberCount),
            })),
        },
    ],
};

function rowsOf(results: Awaited<ReturnType<typeof compareLedgerLayouts>>) {
    return results.map(result => ({ ...result }));
}

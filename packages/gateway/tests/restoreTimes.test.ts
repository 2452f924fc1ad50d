import { expect } from "chai";
import { measureRestore } from "./support/measureRestore.js";

/** Entries that are missing two seconds after the store is back count as gone. */
const TARGET_MS = 2000;

describe("a fleet whose store was restored from an older copy", () => {
    it("has read all kinds and gives orders again within two seconds of the store's return", async () => {
        const { viewsWholeMs, firstOrderMs } = await measureRestore(6);
        expect(viewsWholeMs).to.be.below(TARGET_MS);
        expect(firstOrderMs).to.be.below(TARGET_MS);
    });
});

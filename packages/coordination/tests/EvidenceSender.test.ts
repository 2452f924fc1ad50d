import type { EvidenceUpdate } from "@fescuehaven/protocol";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { EvidenceSender } from "../src/EvidenceSender.js";
import { evidenceTimes } from "../src/evidenceTimes.js";
import { ObservationTable } from "../src/ObservationTable.js";

describe("EvidenceSender", () => {
    it("immediately sends what was observed while the last update was being sent", async () => {
        const clock = ManualClock.create();
        const table = ObservationTable.create(1000);
        const stop = new AbortController();
        const sender = EvidenceSender.create({ incarnation: "i", table, clock });
        const stream: AsyncGenerator<EvidenceUpdate, void> = sender.stream(stop.signal);
        await stream.next();
        table.putOwn("vm", { kind: "unreachable", vm: "vm", observedAtMs: 0 });
        let sent: string[] | undefined;
        void stream.next().then(update => {
            sent = update.done ? undefined : update.value.reports.map(report => report.vm);
        });
        await clock.advance(evidenceTimes.batchMs);
        expect(sent).to.deep.equal(["vm"]);
        stop.abort();
    });
});

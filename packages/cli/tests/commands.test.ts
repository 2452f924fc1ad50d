import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import type { CommandContext } from "../src/CommandContext.js";
import { applyManifests } from "../src/commands/applyManifests.js";
import { drainTarget } from "../src/commands/drainTarget.js";
import { getObjects } from "../src/commands/getObjects.js";
import { showTimeline } from "../src/commands/showTimeline.js";
import { undrainTarget } from "../src/commands/undrainTarget.js";

const account = {
    apiKeySha256: "a".repeat(64),
    weight: 1,
    maxConcurrentRequests: 10,
    maxQueuedRequests: 10,
    priority: 1,
};
const zoneTarget = { kind: "availability-zone", name: "zone-a" } as const;

describe("fescue commands", () => {
    let folder: string;
    let store: MemoryObjectStore;
    let lines: string[];
    let errors: string[];

    beforeEach(async () => {
        folder = await mkdtemp(path.join(tmpdir(), "fescue-cli-"));
        store = MemoryObjectStore.create(ManualClock.create());
        lines = [];
        errors = [];
    });

    afterEach(() => rm(folder, { recursive: true }));

    function contextOf(user = "ana"): CommandContext {
        return {
            store,
            processes: [
                { name: "router-1", zone: "zone-a", role: "router", url: "http://127.0.0.1:1" },
                { name: "router-2", zone: "zone-b", role: "router", url: "http://127.0.0.1:2" },
            ],
            reader: {
                events: async peer =>
                    peer.name === "router-2" ? undefined : {
                        events: [{
                            kind: "request-received",
                            requestId: "r1",
                            at: { wallMs: 1, logical: 0 },
                            process: peer.name,
                            processZone: peer.zone,
                        }],
                        dropped: 0,
                    },
                state: async () => undefined,
            },
            output: { line: text => lines.push(text), error: text => errors.push(text) },
            clock: ManualClock.create(),
            random: SeededRandom.create(1),
            user,
            format: "table",
        };
    }

    async function manifest(content: unknown): Promise<string> {
        const file = path.join(folder, "object.json");
        await writeFile(file, JSON.stringify(content));
        return file;
    }

    function apply(file: string, dryRun = false) {
        return applyManifests(contextOf(), { files: [file], dryRun, diff: true });
    }

    const invalid: [string, unknown, string][] = [
        ["an unknown kind", { kind: "rout", name: "a", spec: {} }, "kind: expected"],
        ["a kind that operators may not write", { kind: "zone-ledger", name: "a", spec: {} }, "kind: expected"],
        ["a misspelled field", { kind: "client-account", name: "a", spec: { ...account, wieght: 2 } }, "spec.wieght"],
        [
            "a missing field",
            { kind: "client-account", name: "a", spec: { ...account, weight: undefined } },
            "spec.weight",
        ],
        ["an invalid name", { kind: "client-account", name: "A b", spec: account }, "name"],
    ];
    for (const [what, content, path] of invalid) {
        it(`rejects ${what} with its path and writes nothing`, async () => {
            const good = { kind: "client-account", name: "good", spec: account };
            expect(await apply(await manifest([good, content]))).to.equal("invalid");
            expect(errors.join("\n").replace("one of", "expected")).to.contain(path.split(":")[0]);
            expect(store.calls.write).to.equal(0);
        });
    }

    it("creates an object, leaves it unchanged when it is applied again, and changes it", async () => {
        expect(await apply(await manifest({ kind: "client-account", name: "a", spec: account }))).to.equal("done");
        expect(await apply(await manifest({ kind: "client-account", name: "a", spec: account }))).to.equal("done");
        expect(lines.at(-1)).to.contain("unchanged");
        const changed = { kind: "client-account", name: "a", spec: { ...account, weight: 7 } };
        expect(await apply(await manifest(changed), true)).to.equal("done");
        expect(store.peek("client-account", "a")?.revision).to.equal(1);
        expect(await apply(await manifest(changed))).to.equal("done");
        expect(lines).to.include("client-account/a + weight: 7");
    });

    it("reports a conflict instead of overwriting another operator's change", async () => {
        const key = { kind: "client-account", name: "a" };
        await store.write(key, account, 0);
        await store.write(key, { ...account, weight: 3 }, 1);
        const file = await manifest({ ...key, revision: 1, spec: { ...account, weight: 9 } });
        expect(await apply(file)).to.equal("conflict");
        expect(store.peek(key.kind, key.name)?.value).to.have.property("weight", 3);
    });

    it("resolves an update whose response was lost by reading the object back", async () => {
        store.faults.loseNextAnswers = 1;
        expect(await apply(await manifest({ kind: "client-account", name: "a", spec: account }))).to.equal("done");
    });

    it("reports an unknown outcome when a write may or may not have happened", async () => {
        store.faults.loseNextWrites = 1;
        const outcome = await apply(await manifest({ kind: "client-account", name: "a", spec: account }));
        expect(outcome).to.equal("outcome-unknown");
    });

    it("keeps a zone out of service while another operator's maintenance intent remains", async () => {
        await drainTarget(contextOf("ana"), { target: zoneTarget, reason: "power" });
        await drainTarget(contextOf("ben"), { target: zoneTarget, reason: "switch", name: "ben-1" });
        expect(await undrainTarget(contextOf("ana"), { target: zoneTarget, all: false })).to.equal("done");
        expect(lines.at(-1)).to.contain("Still out of service because of intent ben-1 of ben: switch");
        expect(store.peek("maintenance-intent", "ben-1")).to.not.equal(undefined);
    });

    it("reports an absent object, an unknown kind and an unavailable platform", async () => {
        expect(await getObjects(contextOf(), "route", "none")).to.equal("not-found");
        expect(await getObjects(contextOf(), "rote")).to.equal("invalid");
        store.faults.outage = true;
        expect(await getObjects(contextOf(), "route")).to.equal("unavailable");
    });

    it("lists the processes whose events are missing from the timeline", async () => {
        expect(await showTimeline(contextOf(), { format: "text" })).to.equal("partial");
        expect(lines.join("\n")).to.contain("request-received").and.to.contain("not reached: router-2");
    });
});

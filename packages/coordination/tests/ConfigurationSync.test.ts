import { ConfigurationService, type ExchangeDigestResponse } from "@fescuehaven/protocol";
import { expect } from "chai";
import { ConfigurationRig } from "./util/ConfigurationRig.js";

const NAMES = ["a/1", "a/2", "b/1", "b/2"];
const KEY = { kind: "client-account", name: "firm" };

/** Time within which a change is active everywhere. */
const REPLICATION_MS = 3000;

const account = (weight: number) => ({
    apiKeySha256: "0".repeat(64),
    weight,
    maxConcurrentRequests: 1,
    maxQueuedRequests: 1,
    priority: 0,
});

describe("ConfigurationSync", () => {
    let rig: ConfigurationRig;
    const weight = (name: string) => rig.sync(name).get("client-account", "firm")?.value.weight;
    const weights = (names: readonly string[] = NAMES) => names.map(weight);
    const inZone = (zone: string) => (name: string) => name.startsWith(`${zone}/`);
    const setPlatformUnreachable = (zone: string, unreachable: boolean) =>
        NAMES.filter(inZone(zone)).forEach(name => rig.process(name).store.unreachable = unreachable);

    /** Sends an object to a process as a peer would. */
    const push = (to: string, revision: number, value: unknown): Promise<ExchangeDigestResponse> =>
        pushText(to, revision, JSON.stringify(value));
    const pushText = (to: string, revision: number, text: string): Promise<ExchangeDigestResponse> =>
        rig.network.clientsOf("rogue")
            .get(ConfigurationService, { name: to, zone: "a", role: "router", url: "" })
            .exchangeDigest({
                sender: "rogue",
                pushed: [{ ...KEY, revision: BigInt(revision), valueJson: Buffer.from(text) }],
            });

    const startAll = async (...names: string[]) => {
        await rig.store.write(KEY, account(1), 0);
        rig.start(...names);
        await rig.clock.advance(100);
    };

    beforeEach(() => {
        rig = ConfigurationRig.create(NAMES);
    });

    afterEach(() => rig.stop());

    it("applies the listing and then each change, and records since when it is active", async () => {
        await startAll(...NAMES);
        expect(weights()).to.deep.equal([1, 1, 1, 1]);
        await rig.clock.advance(10_000);
        const writtenAt = rig.clock.now();
        await rig.store.write(KEY, account(2), 1);
        await rig.clock.advance(100);
        expect(weights()).to.deep.equal([2, 2, 2, 2]);
        const record = rig.sync("a/1").activeRevision(KEY);
        expect(record).to.deep.equal({ revision: 2, deleted: false, since: writtenAt });
        expect(rig.sync("a/1").digest()).to.deep.equal([{ ...KEY, revision: 2, deleted: false }]);
    });

    it("wakes waiters on a change", async () => {
        await startAll("a/1");
        const changed = rig.sync("a/1").changed(rig.sync("a/1").version, new AbortController().signal);
        await rig.store.write(KEY, account(2), 1);
        await rig.clock.advance(100);
        await changed;
    });

    describe("while the platform is unavailable", () => {
        it("starts from a complete peer", async () => {
            await startAll("a/1", "b/1");
            rig.store.faults.outage = true;
            rig.start("b/2");
            await rig.clock.advance(1000);
            expect(weight("b/2")).to.equal(1);
            expect(rig.sync("b/2").complete).to.be.true;
        });

        it("does not count as complete with objects from an incomplete peer", async () => {
            rig.store.faults.outage = true;
            rig.start("a/1", "a/2");
            await push("a/1", 5, account(5));
            await rig.clock.advance(REPLICATION_MS);
            expect(weights(["a/1", "a/2"])).to.deep.equal([5, 5]);
            expect(rig.sync("a/2").complete).to.be.false;
        });

        it("records the outage and its end once each, and keeps the active configuration", async () => {
            await startAll("a/1");
            rig.store.faults.outage = true;
            await rig.clock.advance(60_000);
            expect(weight("a/1")).to.equal(1);
            expect(rig.sync("a/1").platformAvailable).to.be.false;
            rig.store.faults.outage = false;
            await rig.store.write(KEY, account(2), 1);
            await rig.clock.advance(5000);
            const kinds = rig.process("a/1").events.events.map(event => event.kind)
                .filter(kind => kind.startsWith("platform-"));
            expect(kinds).to.deep.equal(["platform-unavailable", "platform-available"]);
            expect(weight("a/1")).to.equal(2);
        });

        it("calls the platform less and less often, but at least every few seconds", async () => {
            await startAll("a/1");
            rig.store.faults.outage = true;
            await rig.clock.advance(30_000);
            const before = rig.store.calls.watch;
            await rig.clock.advance(60_000);
            expect(rig.store.calls.watch - before).to.be.within(60 / 4, 60 / 2 + 1);
        });
    });

    describe("in a zone that is partitioned", () => {
        beforeEach(() => startAll(...NAMES));

        it("from the platform, gets changes from the other zones", async () => {
            setPlatformUnreachable("a", true);
            await rig.store.write(KEY, account(2), 1);
            await rig.clock.advance(REPLICATION_MS);
            expect(weights()).to.deep.equal([2, 2, 2, 2]);
        });

        for (const state of ["refused", "silent"] as const) {
            it(`from the other zones (${state}), gets changes from the platform`, async () => {
                rig.setLinks(inZone("a"), state);
                await rig.store.write(KEY, account(2), 1);
                await rig.clock.advance(REPLICATION_MS);
                expect(weights()).to.deep.equal([2, 2, 2, 2]);
            });

            it(`from both (${state}), keeps its configuration, even in a new process, and catches up`, async () => {
                await rig.stopOne("a/2");
                rig.setLinks(inZone("a"), state);
                setPlatformUnreachable("a", true);
                rig.start("a/2");
                rig.process("a/2").store.unreachable = true;
                await rig.store.write(KEY, account(2), 1);
                await rig.clock.advance(REPLICATION_MS);
                expect(weights()).to.deep.equal([1, 1, 2, 2]);
                rig.setLinks(inZone("a"), "open");
                await rig.clock.advance(2 * REPLICATION_MS);
                expect(weights()).to.deep.equal([2, 2, 2, 2]);
            });
        }
    });

    describe("never returns to an older state", () => {
        it("when a peer sends a lower revision", async () => {
            await startAll("a/1");
            await rig.store.write(KEY, account(2), 1);
            await rig.clock.advance(100);
            await push("a/1", 1, account(1));
            expect(weight("a/1")).to.equal(2);
        });

        it("when a listing is behind", async () => {
            await startAll("a/1");
            await rig.store.write({ ...KEY, name: "later" }, account(1), 0);
            await rig.store.write(KEY, account(2), 1);
            await rig.clock.advance(100);
            const old = { ...KEY, revision: 1, value: account(1) };
            const behind = { kind: "listed", objects: [old], revision: 1 } as const;
            rig.process("a/1").store.list = () => Promise.resolve(structuredClone(behind) as never);
            rig.store.compact();
            rig.process("a/1").store.unreachable = true;
            await rig.clock.advance(10_000);
            rig.process("a/1").store.unreachable = false;
            rig.process("a/1").store.watch = () => Promise.resolve({ kind: "compacted" });
            await rig.clock.advance(20_000);
            expect(weight("a/1")).to.equal(2);
            expect(rig.sync("a/1").list("client-account").map(object => object.name)).to.deep.equal(["firm", "later"]);
            expect(rig.process("a/1").events.ofKind("configuration-refused")).to.not.be.empty;
        });

        it("when a listing contains an object that a peer knows was removed later", async () => {
            await startAll("a/1", "a/2");
            rig.process("a/1").store.unreachable = true;
            await rig.clock.advance(10_000);
            const listing = await rig.store.list(["client-account"]);
            await rig.store.remove(KEY, 1);
            await rig.clock.advance(REPLICATION_MS);
            expect(weights(["a/1", "a/2"])).to.deep.equal([undefined, undefined]);
            rig.process("a/1").store.list = () => Promise.resolve(listing);
            rig.process("a/1").store.watch = () => Promise.resolve({ kind: "compacted" });
            rig.process("a/1").store.unreachable = false;
            await rig.clock.advance(20_000);
            expect(weights(["a/1", "a/2"])).to.deep.equal([undefined, undefined]);
        });

        it("when a process that missed a removal reconnects during an outage", async () => {
            await startAll(...NAMES);
            rig.setLinks(name => name === "a/1", "refused");
            rig.process("a/1").store.unreachable = true;
            await rig.clock.advance(6000);
            await rig.store.remove(KEY, 1);
            await rig.clock.advance(REPLICATION_MS);
            expect(weights()).to.deep.equal([1, undefined, undefined, undefined]);
            rig.store.faults.outage = true;
            rig.setLinks(name => name === "a/1", "open");
            await rig.clock.advance(2 * REPLICATION_MS);
            expect(weights()).to.deep.equal([undefined, undefined, undefined, undefined]);
        });
    });

    it("removes an object that a process started after its removal never had", async () => {
        await startAll("a/1");
        rig.process("a/1").store.unreachable = true;
        rig.setLinks(name => name === "a/1", "refused");
        await rig.clock.advance(6000);
        await rig.store.remove(KEY, 1);
        rig.start("b/1");
        await rig.clock.advance(100);
        rig.store.faults.outage = true;
        rig.setLinks(name => name === "a/1", "open");
        await rig.clock.advance(2 * REPLICATION_MS);
        expect(weights(["a/1", "b/1"])).to.deep.equal([undefined, undefined]);
    });

    describe("with an invalid value", () => {
        const refusals = (name: string) => rig.process(name).events.ofKind("configuration-refused");

        it("from a peer, keeps the last valid one and names the object", async () => {
            await startAll("a/1");
            await push("a/1", 9, { ...account(9), weight: -1 });
            await push("a/1", 9, { ...account(9), weight: -1 });
            await pushText("a/1", 9, "{");
            expect(weight("a/1")).to.equal(1);
            expect(rig.sync("a/1").digest()).to.deep.equal([{ ...KEY, revision: 1, deleted: false }]);
            expect(refusals("a/1")).to.have.length(1);
            expect(refusals("a/1")[0]).to.deep.include({ object: "client-account/firm", revision: 9 });
            expect(refusals("a/1")[0]?.reason).to.match(/^peer rogue: weight: /);
        });

        it("from the platform, keeps the last valid one everywhere, even in a newly started process", async () => {
            await startAll("a/1", "a/2");
            await rig.store.write(KEY, { weight: "heavy" }, 1);
            await rig.clock.advance(REPLICATION_MS);
            rig.start("b/1");
            await rig.clock.advance(REPLICATION_MS);
            expect(weights(["a/1", "a/2", "b/1"])).to.deep.equal([1, 1, 1]);
            expect(rig.sync("b/1").refused()).to.deep.equal([{ ...KEY, revision: 2, deleted: false }]);
            await rig.store.write(KEY, account(3), 2);
            await rig.clock.advance(REPLICATION_MS);
            expect(weights(["a/1", "a/2", "b/1"])).to.deep.equal([3, 3, 3]);
            expect(rig.sync("b/1").refused()).to.deep.equal([]);
        });

        /** Leaves a/1 with the last valid value and b/1 with none while the platform is unavailable. */
        const startWithAndWithout = async () => {
            await startAll("a/1", "a/2");
            await rig.clock.advance(10_000);
            await rig.stopOne("a/2");
            rig.process("a/1").store.unreachable = true;
            rig.setLinks(name => name === "a/1", "refused");
            await rig.clock.advance(6000);
            await rig.store.write(KEY, {}, 1);
            rig.start("b/1");
            await rig.clock.advance(100);
            rig.store.faults.outage = true;
        };

        it("does not mistake a peer that refused it for one that knows it was removed", async () => {
            await startWithAndWithout();
            rig.network.close("a/1");
            rig.setLinks(name => name === "a/1", "open");
            await rig.clock.advance(2 * REPLICATION_MS);
            expect(weights(["a/1", "b/1"])).to.deep.equal([1, 1]);
        });

        it("adopts the last valid one even after connecting to a peer that refused it", async () => {
            await startWithAndWithout();
            rig.start("b/2");
            await rig.clock.advance(2000);
            expect(rig.sync("b/2").complete).to.be.true;
            await rig.stopOne("b/1");
            rig.setLinks(name => name === "a/1", "open");
            await rig.clock.advance(2 * REPLICATION_MS);
            expect(weights(["a/1", "b/2"])).to.deep.equal([1, 1]);
        });
    });

    it("opens a new watch when one is silent", async () => {
        await startAll("a/1");
        rig.store.faults.silentWatches = true;
        await rig.clock.advance(10_000);
        rig.store.faults.silentWatches = false;
        await rig.store.write(KEY, account(2), 1);
        await rig.clock.advance(8000);
        expect(weight("a/1")).to.equal(2);
    });

    it("lists again after a compaction, and removes objects that no longer exist", async () => {
        await startAll("a/1");
        rig.process("a/1").store.unreachable = true;
        await rig.clock.advance(10_000);
        await rig.store.remove(KEY, 1);
        await rig.store.write({ ...KEY, name: "later" }, account(1), 0);
        rig.store.compact();
        rig.process("a/1").store.unreachable = false;
        await rig.clock.advance(10_000);
        expect(weight("a/1")).to.be.undefined;
        expect(rig.sync("a/1").list("client-account").map(object => object.name)).to.deep.equal(["later"]);
        expect(rig.sync("a/1").activeRevision(KEY)).to.deep.include({ deleted: true, revision: 3 });
    });

    it("exchanges only hashes while nothing differs", async () => {
        await startAll(...NAMES);
        await rig.clock.advance(5000);
        const before = rig.exchangeCount();
        await rig.clock.advance(15_000);
        const perProcess = (rig.exchangeCount() - before) / NAMES.length;
        expect(perProcess).to.be.within(27, 33);
    });

    it("compares digests that keep differing only occasionally", async () => {
        let comparisons = 0;
        rig.network.listen("a/2", router =>
            router.service(ConfigurationService, {
                exchangeDigest: request => {
                    comparisons += request.buckets.length > 0 ? 1 : 0;
                    return { rootHash: 1n, bucketHashes: [1n] };
                },
            }));
        await startAll("a/1");
        await rig.clock.advance(60_000);
        expect(comparisons).to.be.within(2, 8);
    });

    it("opens a new connection when one stays silent", async () => {
        await startAll("a/1", "a/2");
        rig.process("a/2").store.unreachable = true;
        await rig.clock.advance(10_000);
        rig.network.silenceConnections();
        await rig.store.write(KEY, account(2), 1);
        await rig.clock.advance(REPLICATION_MS);
        expect(weight("a/2")).to.equal(2);
    });

    it("skips a partner that failed", async () => {
        await startAll("a/1", "b/1");
        await rig.clock.advance(10_000);
        rig.abandoned = 0;
        await rig.clock.advance(30_000);
        expect(rig.abandoned).to.be.within(10, 60);
    });

    it("replicates a change from one process to fifty within 500 ms", async () => {
        const names = Array.from({ length: 50 }, (_, index) => `${"abc"[index % 3]}/${index}`);
        rig = ConfigurationRig.create(names);
        rig.network.delayMs = 2;
        await startAll(...names);
        await rig.clock.advance(5000);
        names.slice(1).forEach(name => rig.process(name).store.unreachable = true);
        await rig.store.write(KEY, account(2), 1);
        await rig.clock.advance(500);
        expect(names.filter(name => weight(name) !== 2)).to.deep.equal([]);
    });

    it("sends a large configuration in several messages", async () => {
        for (let index = 0; index < 300; index++) {
            const value = { reason: "r".repeat(400), requestedBy: "o", target: { kind: "vm", name: `vm-${index}` } };
            await rig.store.write({ kind: "maintenance-intent", name: `i-${index}` }, value, 0);
        }
        const models = { model: "m", version: "v".repeat(100), weightsPerMemberGiB: 1 };
        for (let index = 0; index < 4000; index++) {
            await rig.store.write({ kind: "model-version", name: `m-${index}` }, models, 0);
        }
        rig.start("a/1");
        await rig.clock.advance(100);
        rig.store.faults.outage = true;
        rig.start("a/2");
        await rig.clock.advance(1000);
        expect(rig.sync("a/2").complete).to.be.true;
        expect(rig.sync("a/2").digest()).to.have.length(4300);
    });
});

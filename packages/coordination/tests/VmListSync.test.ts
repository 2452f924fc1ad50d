import type { VmListOutcome, VmRecord } from "@fescuehaven/platform";
import { ManualClock, SeededRandom, SilentLogger } from "@fescuehaven/testing";
import { expect } from "chai";
import { type Peer, PeerDirectory, VmListSync } from "../src/index.js";

const vm = (name: string, role: VmRecord["role"] = "entry"): VmRecord => ({
    name,
    region: "r",
    zone: "a",
    fabricDomain: "f",
    role,
    address: "10.0.0.1",
    enginePort: 0,
    accelerators: 0,
    state: "live",
});

const router = (name: string, url = `http://${name}`): Peer => ({ name, zone: "a", role: "router", url });

describe("VmListSync and PeerDirectory", () => {
    let clock: ManualClock;
    let listVms: () => Promise<VmListOutcome>;
    let vms: VmListSync;
    let stop: AbortController;

    const listed = (...records: VmRecord[]) => {
        listVms = () => Promise.resolve({ kind: "listed", vms: records });
    };

    beforeEach(() => {
        clock = ManualClock.create();
        stop = new AbortController();
        vms = VmListSync.create({
            directory: { listVms: () => listVms() },
            clock,
            random: SeededRandom.create(1),
            logger: SilentLogger.create(),
            refreshMs: 1000,
        });
        listed(vm("b"), vm("a"));
        void vms.run(stop.signal);
    });

    afterEach(async () => {
        stop.abort();
        await clock.advance(0);
    });

    it("keeps the last list while the platform is unavailable", async () => {
        await clock.advance(100);
        listVms = () => Promise.resolve({ kind: "unavailable", retryAfterMs: 0 });
        await clock.advance(5000);
        expect(vms.list().map(record => record.name)).to.deep.equal(["a", "b"]);
        expect(vms.version).to.equal(1);
    });

    it("reads again after a read that received no response", async () => {
        await clock.advance(100);
        listVms = () => new Promise(() => {});
        await clock.advance(5000);
        listed(vm("c"));
        await clock.advance(12_000);
        expect(vms.get("c")).to.not.be.undefined;
        expect(vms.get("a")).to.be.undefined;
    });

    it("updates peers when entry VMs are replaced, and omits this process", async () => {
        const directory = PeerDirectory.create({
            process: "router-a",
            configured: [router("router-z"), router("router-b", "http://old")],
            vms,
            peersOf: record => [router(`router-${record.name}`)],
        });
        expect(directory.list().map(peer => peer.name)).to.deep.equal(["router-b", "router-z"]);
        listed(vm("a"), vm("b"), vm("e", "engine"));
        await clock.advance(2000);
        expect(directory.list()).to.deep.equal([router("router-b"), router("router-z")]);
        listed(vm("a"), vm("c"));
        await clock.advance(2000);
        expect(directory.list().map(peer => `${peer.name} ${peer.url}`)).to.deep.equal([
            "router-b http://old",
            "router-c http://router-c",
            "router-z http://router-z",
        ]);
    });
});

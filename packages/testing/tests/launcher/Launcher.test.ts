import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { expect } from "chai";
import path from "node:path";
import { fetch } from "undici";
import { Launcher } from "../../src/launcher/Launcher.js";
import { chooseNetwork } from "../../src/network/chooseNetwork.js";
import { SystemTopology } from "../../src/topology/SystemTopology.js";
import { untilTrue } from "../../src/util/untilTrue.js";

const BINARIES = path.resolve(import.meta.dirname, "../../../../dist");

describe("Launcher", () => {
    const clock = SystemClock.create();
    let launcher: Launcher;

    beforeEach(async () => {
        launcher = await Launcher.create({ clock, binaries: BINARIES });
    });

    afterEach(async () => launcher.stopAll());

    it("starts a system's stand-ins, and pauses, resumes, kills and restarts a process", async () => {
        const topology = SystemTopology.create(await chooseNetwork(SystemRandom.create()));
        await launcher.start(topology.standins());
        const vms = (await (await fetch(`${topology.platformUrl}/v1/vms`)).json()) as { vms: unknown[]; };
        expect(vms.vms).to.have.length(24);
        const engines = launcher.handle("engines-b");
        const url = `${topology.engineUrl("vm-b-2")}/v1/report`;
        const bootId = async () => ((await (await fetch(url)).json()) as { bootId: string; }).bootId;
        const first = await bootId();
        engines.pause();
        expect(await engines.isReady().catch(() => false)).to.equal(false);
        engines.resume();
        await untilTrue(clock, "resumed", 10_000, () => engines.isReady());
        expect(await bootId()).to.equal(first);
        await engines.kill();
        expect(engines.pid).to.equal(undefined);
        await engines.start();
        await engines.untilReady(10_000);
        expect(await bootId()).to.not.equal(first);
        expect(await launcher.handle("platform").stop()).to.equal(true);
    });

    it("shows the end of the log of a process that does not start", async () => {
        const spec = { name: "x", binary: "standin-platform", settings: {}, readyUrl: "http://127.0.0.1:1/readyz" };
        const failure = await launcher.start([spec]).catch((error: unknown) => (error as Error).message);
        expect(failure).to.include("x ended at start").and.include("listen: expected");
    });
});

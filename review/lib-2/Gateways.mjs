import { spawn } from "node:child_process";
import { createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

const ROOT = path.resolve(import.meta.dirname, "../..");
const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The gateway processes of a small deployment, each on its own loopback address. */
export class Gateways {
    all = [];

    constructor({ storeAddress, bounds = {} }) {
        this.storeAddress = storeAddress;
        this.bounds = bounds;
        const run = /^run = "(.*)"$/m.exec(readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8"))[1];
        [this.program, ...this.args] = run.split(" ");
        if (!existsSync(path.join(ROOT, this.args.at(-1)))) {
            throw new Error("the gateway is not built");
        }
        this.folder = mkdtempSync(path.join(tmpdir(), "fescue-review-"));
        // All gateways have the same metrics port, so that each needs an address of its own.
        this.network = `127.${64 + (process.pid >> 8 & 0x3f)}.${process.pid & 0xff}`;
        process.once("SIGTERM", () => void this.close().then(() => process.exit(2)));
    }

    async start(zones) {
        const hosts = zones.map((_, index) => `${this.network}.${index + 1}`);
        zones.forEach((zone, index) => {
            const name = `frontend-${zone}-${index}`;
            const file = path.join(this.folder, `${name}.toml`);
            writeFileSync(file, this.settings(name, zone, hosts[index], hosts));
            const gateway = {
                name,
                zone,
                host: hosts[index],
                file,
                frontend: 8227,
                ready: 8220,
                output: path.join(this.folder, `${name}.log`),
            };
            this.all.push(gateway);
            this.launch(gateway);
        });
        await Promise.all(this.all.map(gateway => this.untilReady(gateway)));
    }

    launch(gateway) {
        const child = spawn(this.program, this.args, {
            cwd: ROOT,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                LANG: process.env.LANG ?? "C",
                FESCUEHAVEN_BOOT: gateway.file,
            },
        });
        const log = createWriteStream(gateway.output, { flags: "a" });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        gateway.child = child;
        gateway.exit = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        gateway.exit.then(result => gateway.ended = result);
    }

    async untilReady(gateway) {
        for (let tries = 0; tries < 150; tries++) {
            try {
                const { status } = await fetch(`http://${gateway.host}:${gateway.ready}/readiness`);
                if (status === 200) {
                    return;
                }
            }
            catch {
                // It does not listen yet.
            }
            await delay(100);
        }
        throw new Error(`${gateway.name} does not become ready`);
    }

    async close() {
        for (const { child } of this.all) {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }
        }
        await Promise.all(this.all.map(({ exit }) => exit));
        rmSync(this.folder, { recursive: true, force: true });
    }

    settings(name, zone, host, hosts) {
        const bounds = {
            seedLagS: 3,
            addressReuseS: 2,
            stableWindowMs: 3000,
            ackTimeoutMs: 4000,
            catchUpS: 4,
            drainTimeoutMs: 2000,
            gracePeriodS: 8,
            lossSlackMs: 200,
            configApplyMs: 2000,
            rollbackSlackMs: 250,
            maxExtensionMs: 5000,
            retryBudgetRatio: 0.2,
            budgetWindowS: 10,
            retryBudgetSlack: 130,
            coldOverage: 1.5,
            coldSlack: 5,
            evacuationMs: 5000,
            recoveryS: 12,
            passMs: 120,
            retryAfterS: 0,
            stallMs: 4000,
            ceilingWindowS: 5,
            ceilingOverage: 1.1,
            ...this.bounds,
        };
        return `nodeName = "${name}"
role = "gateway"
machineClass = "frontend"
serves = ["frontend"]
ipAddress = "${host}"
zone = "${zone}"
region = "r"
internalPortRange = [7340, 7355]
seedNodes = [${hosts.slice(0, 3).map(item => `"${item}:7340"`).join(", ")}]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
[zones]
za = "r"
zb = "r"
zc = "r"
[listenAddresses]
frontend = "${host}:8227"
ready = "${host}:8220"
[limits]
cpuShare = 0.675
cpuCores = 1
memoryMb = 350
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
${Object.entries(bounds).map(([key, value]) => `${key} = ${value}`).join("\n")}
[platform]
address = "${this.storeAddress}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`;
    }
}

import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import path from "node:path";

const root = path.resolve(import.meta.dirname, "../..");
/** The command of the deploy file. */
const command = /^run = "(.*)"$/m.exec(readFileSync(path.join(root, "deploy/system.toml"), "utf8"))[1].split(" ");
const READY_TIMEOUT_MS = 20_000;

/** A gateway process that is started with the command of the deploy file, on a loopback address of its own. */
export class Gateway {
    /** Exits that the script did not ask for. */
    unexpectedExits = 0;

    /** Creates a gateway with free ports. The metrics port is fixed, so each has an address that only this script uses. */
    static async create({ index, zone, storeAddress, folder, bounds = {} }) {
        const host = `127.${64 + (process.pid >> 8 & 0x3f)}.${process.pid & 0xff}.${index}`;
        const port = await freePorts(host, 4);
        const ports = { port, readyPort: port + 1, internalPort: port + 2 };
        return new Gateway({ index, zone, storeAddress, folder, bounds, host, ...ports });
    }

    constructor({ index, zone, storeAddress, folder, bounds, host, port, readyPort, internalPort }) {
        this.name = `frontend-${zone}-${index}`;
        Object.assign(this, { host, port, readyPort, peerAddress: `${host}:${internalPort}` });
        this.folder = folder;
        this.file = path.join(folder, `${this.name}.toml`);
        this.logFile = path.join(folder, `${this.name}.log`);
        const all = {
            gracePeriodS: 8,
            retryBudgetRatio: 0.2,
            budgetWindowS: 10,
            retryBudgetSlack: 130,
            stallMs: 4000,
            ceilingWindowS: 5,
            ceilingOverage: 1.1,
            drainTimeoutMs: 2000,
            configApplyMs: 2000,
            stableWindowMs: 3000,
            lossSlackMs: 200,
            ...bounds,
        };
        mkdirSync(folder, { recursive: true });
        writeFileSync(
            this.file,
            `nodeName = "${this.name}"
ipAddress = "${host}"
zone = "${zone}"
internalPortRange = [${internalPort}, ${internalPort + 1}]
heartbeatIntervalMs = 1200
[listenAddresses]
frontend = "${host}:${port}"
ready = "${host}:${readyPort}"
[bounds]
${Object.entries(all).map(([name, value]) => `${name} = ${value}`).join("\n")}
[platform]
address = "${storeAddress}"
writesPerS = 400
readsPerS = 2000
`,
        );
    }

    start() {
        this.isEnding = false;
        const log = createWriteStream(this.logFile, { flags: "a" });
        const child = spawn(command[0] === "node" ? process.execPath : command[0], command.slice(1), {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, FESCUEHAVEN_BOOT: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        this.child = child;
        this.exited = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                this.exit = { code, signal };
                this.unexpectedExits += this.isEnding ? 0 : 1;
                resolve(this.exit);
            })
        );
    }

    async isReady() {
        const response = await fetch(`http://${this.host}:${this.readyPort}/readiness`).catch(() => undefined);
        await response?.text();
        return response?.status === 200;
    }

    async untilReady() {
        const endMs = performance.now() + READY_TIMEOUT_MS;
        while (!await this.isReady()) {
            if (performance.now() > endMs) {
                throw new Error(`${this.name} did not become ready`);
            }
            await sleep(50);
        }
    }

    signal(name) {
        this.isEnding ||= name === "SIGKILL" || name === "SIGTERM";
        this.child.kill(name);
    }

    log() {
        return readFileSync(this.logFile, "utf8");
    }

    async stop() {
        if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
            this.isEnding = true;
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await this.exited;
        }
    }
}

/** Finds `count` consecutive ports of the host that are free; resolves to the first. */
async function freePorts(host, count) {
    for (;;) {
        const first = await listenOnce(host, 0);
        const others = Array.from({ length: count - 1 }, (_, index) => listenOnce(host, first + 1 + index));
        if ((await Promise.all(others)).every(port => port > 0)) {
            return first;
        }
    }
}

/** Listens for a moment; resolves to the port, or to 0 if it is taken. */
function listenOnce(host, port) {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(0));
        server.listen({ host, port }, () => {
            const address = server.address();
            server.close(() => resolve(address.port));
        });
    });
}

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

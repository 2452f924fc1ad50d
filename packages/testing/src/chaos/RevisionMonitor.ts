import type { Clock } from "@fescuehaven/runtime";
import { execFile } from "node:child_process";
import { writeFile } from "node:fs/promises";
import path from "node:path";
import type { RunningSystem } from "../system/RunningSystem.js";

/** Pause between two reads of the status. */
const INTERVAL_MS = 1500;

/** Longest wait for a response of a process. */
const TIMEOUT_MS = 800;

interface StatusOutput {
    processes: Array<{ name: string; reachable: boolean; configurationRevision?: number; }>;
}

/** Reads each process's active configuration revision with `fescue status` and checks that it never decreases. */
export class RevisionMonitor {
    /** Descriptions of the violations. */
    readonly violations: string[] = [];
    /** Number of revisions that were read and checked. */
    count = 0;
    /** Active revision of each process at the last read; undefined for a process that was unreachable. */
    latest: ReadonlyMap<string, number | undefined> = new Map();
    /** Highest revision read so far, by process name and process id. */
    private readonly highest = new Map<string, number>();
    private readonly stopping = new AbortController();
    private readonly configFile: string;

    private constructor(
        private readonly system: RunningSystem,
        private readonly clock: Clock,
        private readonly binaries: string,
    ) {
        this.configFile = path.join(system.launcher.files, "fescue.json");
    }

    /** Creates a monitor; it reads nothing until `run` is called. */
    static create(options: { system: RunningSystem; clock: Clock; binaries: string; }): RevisionMonitor {
        return new RevisionMonitor(options.system, options.clock, options.binaries);
    }

    /** Reads the status until `stop` is called. */
    async run(): Promise<void> {
        await this.writeConfiguration();
        while (!this.stopping.signal.aborted) {
            const pidsBefore = this.pids();
            const status = await this.readStatus();
            const pidsAfter = this.pids();
            this.latest = new Map(status?.processes.map(one => [one.name, one.configurationRevision]));
            for (const { name, configurationRevision } of status?.processes ?? []) {
                const pid = pidsBefore.get(name);
                if (configurationRevision !== undefined && pid !== undefined && pid === pidsAfter.get(name)) {
                    this.checkRevision(name, pid, configurationRevision);
                }
            }
            await this.clock.sleep(INTERVAL_MS, this.stopping.signal);
        }
    }

    /** Stops reading. */
    stop(): void {
        this.stopping.abort();
    }

    private checkRevision(name: string, pid: number, revision: number): void {
        this.count += 1;
        const key = `${name} (process ${pid})`;
        const highest = this.highest.get(key) ?? 0;
        if (revision < highest) {
            this.violations.push(`${key}: the active revision decreased from ${highest} to ${revision}.`);
        }
        this.highest.set(key, Math.max(highest, revision));
    }

    private endpoints(): Array<{ name: string; zone: string; role: string; url: string; }> {
        return this.system.topology.entryVms.flatMap(({ zone, router, controller }) => [
            { name: router.name, zone, role: "router", url: router.peerUrl },
            { name: controller.name, zone, role: "controller", url: controller.peerUrl },
        ]);
    }

    private pids(): Map<string, number | undefined> {
        return new Map(this.endpoints().map(({ name }) => [name, this.system.process(name).pid]));
    }

    private async writeConfiguration(): Promise<void> {
        const platform = { url: this.system.topology.platformUrl, timeoutMs: TIMEOUT_MS };
        await writeFile(this.configFile, JSON.stringify({ platform, processes: this.endpoints() }));
    }

    /** Returns undefined when the output is not JSON; ignores the exit code, so that a partial status counts. */
    private async readStatus(): Promise<StatusOutput | undefined> {
        const args = [
            path.join(this.binaries, "fescue.js"),
            "--config",
            this.configFile,
            "status",
            "--output",
            "json",
        ];
        const text = await new Promise<string>(resolve => {
            execFile(process.execPath, args, (_error, stdout) => resolve(stdout));
        });
        try {
            return JSON.parse(text) as StatusOutput;
        }
        catch {
            return undefined;
        }
    }
}

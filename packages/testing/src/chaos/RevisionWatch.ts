import type { Clock } from "@fescuehaven/runtime";
import { execFile } from "node:child_process";
import { writeFile } from "node:fs/promises";
import path from "node:path";
import type { RunningSystem } from "../system/RunningSystem.js";

/** Pause between two looks, ms. */
const INTERVAL_MS = 1500;

/** Longest wait for a process's answer, ms. */
const TIMEOUT_MS = 800;

interface StatusOutput {
    processes: Array<{ name: string; reachable: boolean; configurationRevision?: number; }>;
}

/** Reads by `fescue status` which revision each process has in force, and checks that it never goes down. */
export class RevisionWatch {
    /** What was wrong. */
    readonly violations: string[] = [];
    /** Revisions read. */
    count = 0;
    /** Revision that each process had in force at the last look; undefined where it was not reached. */
    latest: ReadonlyMap<string, number | undefined> = new Map();
    /** Highest revision seen, by process and process id. */
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

    /** Creates a watch that has seen nothing. */
    static create(options: { system: RunningSystem; clock: Clock; binaries: string; }): RevisionWatch {
        return new RevisionWatch(options.system, options.clock, options.binaries);
    }

    /** Reads until `stop`. */
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
                    this.take(name, pid, configurationRevision);
                }
            }
            await this.clock.sleep(INTERVAL_MS, this.stopping.signal);
        }
    }

    /** Ends the reading. */
    stop(): void {
        this.stopping.abort();
    }

    private take(name: string, pid: number, revision: number): void {
        this.count += 1;
        const key = `${name} (process ${pid})`;
        const highest = this.highest.get(key) ?? 0;
        if (revision < highest) {
            this.violations.push(`${key}: the revision in force went from ${highest} down to ${revision}.`);
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

    /** Gives undefined when nothing could be read; a status that is shown in part counts. */
    private async readStatus(): Promise<StatusOutput | undefined> {
        const words = [
            path.join(this.binaries, "fescue.js"),
            "--config",
            this.configFile,
            "status",
            "--output",
            "json",
        ];
        const text = await new Promise<string>(resolve => {
            execFile(process.execPath, words, (_error, stdout) => resolve(stdout));
        });
        try {
            return JSON.parse(text) as StatusOutput;
        }
        catch {
            return undefined;
        }
    }
}

import type { Clock } from "@fescuehaven/runtime";
import { rmSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { ProcessHandle } from "./ProcessHandle.js";
import type { ProcessSpec } from "./ProcessSpec.js";

/** Default time limit for processes to become ready. */
const READY_DEADLINE_MS = 30_000;

/** Time that each process has to exit after SIGTERM in `stopAll` before it is killed. */
const STOP_ALL_GRACE_MS = 5000;

/** Starts built binaries for tests, the demo and the benchmarks, and stops every process that it started. */
export class Launcher {
    private readonly handles = new Map<string, ProcessHandle>();
    private readonly killAll = () => this.handles.forEach(handle => handle.killNow());
    private readonly onSignal = () => {
        this.killAll();
        rmSync(this.files, { recursive: true, force: true });
        process.exit(1);
    };

    private constructor(
        private readonly clock: Clock,
        private readonly binaries: string,
        /** Folder for the settings and log files of the processes. */
        readonly files: string,
    ) {
        process.once("exit", this.killAll);
        process.once("SIGINT", this.onSignal);
        process.once("SIGTERM", this.onSignal);
    }

    /** Creates a launcher of the binaries in the folder `binaries`, with a new temporary folder for settings and logs. */
    static async create(options: { clock: Clock; binaries: string; }): Promise<Launcher> {
        const files = await mkdtemp(path.join(tmpdir(), "fescue-"));
        return new Launcher(options.clock, options.binaries, files);
    }

    /** Starts processes concurrently and waits until all are ready. */
    async start(specs: readonly ProcessSpec[], deadlineMs = READY_DEADLINE_MS): Promise<ProcessHandle[]> {
        const handles = await this.launch(specs);
        await Promise.all(handles.map(handle => handle.untilReady(deadlineMs)));
        return handles;
    }

    /** Starts processes concurrently without waiting for them to be ready. */
    async launch(specs: readonly ProcessSpec[]): Promise<ProcessHandle[]> {
        const handles = specs.map(spec => this.add(spec));
        await Promise.all(handles.map(handle => handle.start()));
        return handles;
    }

    /** Returns the handle of a started process. Throws if no process of that name was started. */
    handle(name: string): ProcessHandle {
        const handle = this.handles.get(name);
        if (!handle) {
            throw new Error(`No process named ${name} was started.`);
        }
        return handle;
    }

    /** Stops every process and deletes the folder of settings and logs unless `keepFiles` is set. */
    async stopAll(keepFiles = false): Promise<void> {
        await Promise.all([...this.handles.values()].map(handle => handle.stop(STOP_ALL_GRACE_MS)));
        process.removeListener("exit", this.killAll);
        process.removeListener("SIGINT", this.onSignal);
        process.removeListener("SIGTERM", this.onSignal);
        if (!keepFiles) {
            await rm(this.files, { recursive: true, force: true });
        }
    }

    private add(spec: ProcessSpec): ProcessHandle {
        if (this.handles.has(spec.name)) {
            throw new Error(`A process named ${spec.name} was already started.`);
        }
        const handle = ProcessHandle.create({ spec, binaries: this.binaries, files: this.files, clock: this.clock });
        this.handles.set(spec.name, handle);
        return handle;
    }
}

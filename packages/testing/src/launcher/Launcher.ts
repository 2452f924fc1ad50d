import type { Clock } from "@fescuehaven/runtime";
import { rmSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { ProcessHandle } from "./ProcessHandle.js";
import type { ProcessSpec } from "./ProcessSpec.js";

/** Longest wait for a process to become ready, ms. */
const READY_DEADLINE_MS = 30_000;

/** Time that processes have to end after SIGTERM when all are stopped, ms. */
const STOP_ALL_GRACE_MS = 5000;

/** Starts built binaries for tests, the demo and the bench, and ends all that it started. */
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
        /** Folder with settings and logs. */
        readonly files: string,
    ) {
        process.once("exit", this.killAll);
        process.once("SIGINT", this.onSignal);
        process.once("SIGTERM", this.onSignal);
    }

    /** Creates a launcher of the binaries in the folder `binaries`, with a new folder for settings and logs. */
    static async create(options: { clock: Clock; binaries: string; }): Promise<Launcher> {
        const files = await mkdtemp(path.join(tmpdir(), "fescue-"));
        return new Launcher(options.clock, options.binaries, files);
    }

    /** Starts processes together and waits until all are ready. */
    async start(specs: readonly ProcessSpec[], deadlineMs = READY_DEADLINE_MS): Promise<ProcessHandle[]> {
        const handles = await this.launch(specs);
        await Promise.all(handles.map(handle => handle.untilReady(deadlineMs)));
        return handles;
    }

    /** Starts processes together without waiting for them. */
    async launch(specs: readonly ProcessSpec[]): Promise<ProcessHandle[]> {
        const handles = specs.map(spec => this.add(spec));
        await Promise.all(handles.map(handle => handle.start()));
        return handles;
    }

    /** The handle of a started process. */
    handle(name: string): ProcessHandle {
        const handle = this.handles.get(name);
        if (!handle) {
            throw new Error(`No process ${name} was started.`);
        }
        return handle;
    }

    /** Ends every process; with `keepFiles` the folder of settings and logs stays. */
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
            throw new Error(`A process ${spec.name} was started before.`);
        }
        const handle = ProcessHandle.create({ spec, binaries: this.binaries, files: this.files, clock: this.clock });
        this.handles.set(spec.name, handle);
        return handle;
    }
}

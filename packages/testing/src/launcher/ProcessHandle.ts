import type { Clock } from "@fescuehaven/runtime";
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { request } from "undici";
import { untilTrue } from "../util/untilTrue.js";
import type { ProcessSpec } from "./ProcessSpec.js";

/** Timeout of one readiness check. */
const READY_CHECK_TIMEOUT_MS = 1000;

/** Time that a process has to exit after SIGTERM before it is killed. */
const STOP_GRACE_MS = 20_000;

/** Number of log lines in an error message. */
const LOG_TAIL_LINES = 15;

/** A process of the launcher; it can be killed, paused, resumed and restarted. */
export class ProcessHandle {
    private child: ChildProcess | undefined;
    private exit: Promise<void> = Promise.resolve();
    private paused = false;

    private constructor(
        readonly spec: ProcessSpec,
        private readonly folders: { binaries: string; files: string; },
        private readonly clock: Clock,
    ) {}

    /** Creates a handle without starting the process. */
    static create(options: {
        spec: ProcessSpec;
        /** Folder of the built binaries. */
        binaries: string;
        /** Folder for settings and logs. */
        files: string;
        clock: Clock;
    }): ProcessHandle {
        const { spec, binaries, files, clock } = options;
        return new ProcessHandle(spec, { binaries, files }, clock);
    }

    /** Process id, or undefined if the process is not running. */
    get pid(): number | undefined {
        return this.child?.pid;
    }

    /** File that contains everything that the process printed. */
    get logFile(): string {
        return path.join(this.folders.files, `${this.spec.name}.log`);
    }

    /** Starts the process without waiting for it to be ready. */
    async start(): Promise<void> {
        const { name, settings, settingsVariable } = this.spec;
        const settingsFile = path.join(this.folders.files, `${name}.settings`);
        await writeFile(settingsFile, typeof settings === "string" ? settings : JSON.stringify(settings, undefined, 4));
        const log = openSync(this.logFile, "a");
        const binary = path.join(this.folders.binaries, `${this.spec.binary}.js`);
        const child = spawn(process.execPath, [binary, ...settingsVariable ? [] : ["--settings", settingsFile]], {
            stdio: ["ignore", log, log],
            env: settingsVariable ? { ...process.env, [settingsVariable]: settingsFile } : process.env,
        });
        closeSync(log);
        this.child = child;
        this.paused = false;
        this.exit = new Promise(resolve => {
            child.once("exit", () => {
                this.child = this.child === child ? undefined : this.child;
                resolve();
            });
        });
    }

    /** Waits until the process reports that it is ready; throws with the end of its log if it exits or is too late. */
    async untilReady(deadlineMs: number): Promise<void> {
        try {
            await untilTrue(this.clock, `${this.spec.name} ready`, deadlineMs, async () => {
                if (!this.child) {
                    return true;
                }
                return this.isReady();
            });
        }
        catch (error) {
            throw new Error(`${(error as Error).message}\n${await this.logTail()}`);
        }
        if (!this.child) {
            throw new Error(`${this.spec.name} ended at start.\n${await this.logTail()}`);
        }
    }

    /** Returns whether the process responds to its readiness check with 200; throws if it does not respond in time. */
    async isReady(): Promise<boolean> {
        const response = await request(this.spec.readyUrl, { signal: AbortSignal.timeout(READY_CHECK_TIMEOUT_MS) });
        await response.body.dump();
        return response.statusCode === 200;
    }

    /** Sends SIGKILL and waits until the process has exited. */
    async kill(): Promise<void> {
        this.child?.kill("SIGKILL");
        await this.exit;
    }

    /** Sends SIGKILL without waiting, for the exit of the launcher's own process. */
    killNow(): void {
        this.child?.kill("SIGKILL");
    }

    /** Sends SIGHUP. */
    hangUp(): void {
        this.child?.kill("SIGHUP");
    }

    /** Sends SIGSTOP. */
    pause(): void {
        this.paused = true;
        this.child?.kill("SIGSTOP");
    }

    /** Sends SIGCONT. */
    resume(): void {
        this.paused = false;
        this.child?.kill("SIGCONT");
    }

    /** Sends SIGTERM, and SIGKILL after `graceMs`. Returns whether the process exited without SIGKILL. */
    async stop(graceMs = STOP_GRACE_MS): Promise<boolean> {
        const child = this.child;
        if (!child) {
            return true;
        }
        if (this.paused) {
            this.resume();
        }
        child.kill("SIGTERM");
        const graceTimer = new AbortController();
        const timedOut = this.clock.sleep(graceMs, graceTimer.signal).then(() => true);
        const isLate = await Promise.race([this.exit.then(() => false), timedOut]);
        graceTimer.abort();
        if (isLate) {
            await this.kill();
        }
        return !isLate;
    }

    /** Returns the last lines of the log. */
    async logTail(): Promise<string> {
        const text = await readFile(this.logFile, "utf8").catch(() => "");
        return text.trimEnd().split("\n").slice(-LOG_TAIL_LINES).join("\n");
    }
}

import type { Clock } from "@fescuehaven/runtime";
import type { Logger } from "@fescuehaven/telemetry";
import { createSecureContext } from "node:tls";
import type { TlsFiles } from "../TlsFiles.js";
import type { TlsMaterial } from "../TlsMaterial.js";
import { readTlsMaterial } from "./readTlsMaterial.js";

/** What a `TlsIdentity` is made of. */
interface TlsIdentityOptions {
    files: TlsFiles;
    clock: Clock;
    logger: Logger;
    /** Time between two looks at the files, ms. */
    refreshMs?: number;
}

/** The identity, or why its files cannot be used. */
type TlsIdentityOutcome =
    | { kind: "loaded"; identity: TlsIdentity; }
    | { kind: "unusable"; reason: string; };

const DEFAULT_REFRESH_MS = 5000;

/** A process's TLS files, read again while it runs. Files that cannot be used leave the last good ones in force. */
export class TlsIdentity {
    private readonly listeners: Array<(material: TlsMaterial) => void> = [];
    private lastProblem = "";

    private constructor(private readonly options: TlsIdentityOptions, private current: TlsMaterial) {}

    /** Reads the files. */
    static async create(options: TlsIdentityOptions): Promise<TlsIdentityOutcome> {
        try {
            return { kind: "loaded", identity: new TlsIdentity(options, await readMaterial(options.files)) };
        }
        catch (error) {
            return { kind: "unusable", reason: (error as Error).message };
        }
    }

    /** What is in force now. */
    get material(): TlsMaterial {
        return this.current;
    }

    /** Calls `listener` whenever other files come into force. */
    onChange(listener: (material: TlsMaterial) => void): void {
        this.listeners.push(listener);
    }

    /** Looks at the files again and again until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(this.options.refreshMs ?? DEFAULT_REFRESH_MS, signal);
            if (!signal.aborted) {
                await this.refresh();
            }
        }
    }

    /** Looks at the files once. */
    async refresh(): Promise<void> {
        try {
            const material = await readMaterial(this.options.files);
            this.lastProblem = "";
            this.adopt(material);
        }
        catch (error) {
            this.reportProblem((error as Error).message);
        }
    }

    private adopt(material: TlsMaterial): void {
        const { cert, key, ca } = this.current;
        if (material.cert === cert && material.key === key && material.ca === ca) {
            return;
        }
        this.current = material;
        this.listeners.forEach(listener => listener(material));
        this.options.logger.info("New TLS files are in force.");
    }

    private reportProblem(problem: string): void {
        if (problem !== this.lastProblem) {
            this.options.logger.error(`TLS files cannot be used, the last good ones stay: ${problem}.`);
        }
        this.lastProblem = problem;
    }
}

/** Rejects when a file cannot be read or key and certificate do not fit. */
async function readMaterial(files: TlsFiles): Promise<TlsMaterial> {
    const material = await readTlsMaterial(files);
    createSecureContext(material);
    return material;
}

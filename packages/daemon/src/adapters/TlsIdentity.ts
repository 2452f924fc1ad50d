import type { Clock } from "@fescuehaven/runtime";
import type { Logger } from "@fescuehaven/telemetry";
import { createSecureContext } from "node:tls";
import type { TlsFiles } from "../TlsFiles.js";
import type { TlsMaterial } from "../TlsMaterial.js";
import { readTlsMaterial } from "./readTlsMaterial.js";

interface TlsIdentityOptions {
    files: TlsFiles;
    clock: Clock;
    logger: Logger;
    /** Time between two reads of the files; `DEFAULT_REFRESH_MS` when left out. */
    refreshMs?: number;
}

/** The identity, or the reason why its files cannot be used. */
type TlsIdentityOutcome =
    | { kind: "loaded"; identity: TlsIdentity; }
    | { kind: "unusable"; reason: string; };

const DEFAULT_REFRESH_MS = 5000;

/** A process's TLS files, read periodically. If they become unusable, the last valid ones stay in use. */
export class TlsIdentity {
    private readonly listeners: Array<(material: TlsMaterial) => void> = [];
    private lastProblem = "";

    private constructor(private readonly options: TlsIdentityOptions, private current: TlsMaterial) {}

    /** Reads the files and creates the identity. Never rejects. */
    static async create(options: TlsIdentityOptions): Promise<TlsIdentityOutcome> {
        try {
            return { kind: "loaded", identity: new TlsIdentity(options, await readMaterial(options.files)) };
        }
        catch (error) {
            return { kind: "unusable", reason: (error as Error).message };
        }
    }

    /** Certificate, key and authorities in use now. */
    get material(): TlsMaterial {
        return this.current;
    }

    /** Calls `listener` whenever changed, valid files have been read. */
    onChange(listener: (material: TlsMaterial) => void): void {
        this.listeners.push(listener);
    }

    /** Reads the files periodically until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(this.options.refreshMs ?? DEFAULT_REFRESH_MS, signal);
            if (!signal.aborted) {
                await this.refresh();
            }
        }
    }

    /** Reads the files once. Unusable files are logged, and the last valid ones stay in use. */
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
        this.options.logger.info("Now using the changed TLS files.");
    }

    private reportProblem(problem: string): void {
        if (problem !== this.lastProblem) {
            this.options.logger.error(`TLS files cannot be used, keeping the last valid ones: ${problem}.`);
        }
        this.lastProblem = problem;
    }
}

/** Rejects if a file cannot be read, or if the key does not match the certificate. */
async function readMaterial(files: TlsFiles): Promise<TlsMaterial> {
    const material = await readTlsMaterial(files);
    createSecureContext(material);
    return material;
}

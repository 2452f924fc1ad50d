import type { VmDirectory, VmRecord } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger } from "@fescuehaven/telemetry";
import type { VmView } from "./ports/VmView.js";
import { withDeadline } from "./util/withDeadline.js";

/** Interval between reads of the list. */
const DEFAULT_REFRESH_MS = 2000;
/** Timeout of a read. */
const READ_TIMEOUT_MS = 10_000;
/** Maximum fraction by which each interval is shortened at random, so that processes read at different times. */
const JITTER = 0.3;

interface VmListSyncOptions {
    directory: VmDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
    refreshMs?: number;
}

/** Reads the platform's list of VMs periodically. Keeps the last list while the platform is unavailable. */
export class VmListSync implements VmView {
    private vms: ReadonlyMap<string, VmRecord> = new Map();
    private fingerprint = "";
    private available = true;
    private changes = 0;

    private constructor(private readonly options: VmListSyncOptions) {}

    /** Creates an empty view. */
    static create(options: VmListSyncOptions): VmListSync {
        return new VmListSync(options);
    }

    /** Increases whenever the list changes. */
    get version(): number {
        return this.changes;
    }

    /** Returns all VMs, sorted by name. */
    list(): readonly VmRecord[] {
        return [...this.vms.values()];
    }

    /** Returns the VM with the given name, or undefined. */
    get(name: string): VmRecord | undefined {
        return this.vms.get(name);
    }

    /** Keeps the list up to date until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, refreshMs = DEFAULT_REFRESH_MS } = this.options;
        while (!signal.aborted) {
            await this.refresh(signal);
            await clock.sleep(refreshMs * (1 - JITTER * random.next()), signal);
        }
    }

    private async refresh(signal: AbortSignal): Promise<void> {
        const { clock, directory } = this.options;
        const outcome = await withDeadline(clock, READ_TIMEOUT_MS, signal, () => directory.listVms());
        if (signal.aborted) {
            return;
        }
        this.recordAvailability(outcome?.kind === "listed");
        if (outcome?.kind === "listed") {
            this.apply(outcome.vms);
        }
    }

    private apply(vms: readonly VmRecord[]): void {
        const sorted = [...vms].sort((a, b) => a.name < b.name ? -1 : 1);
        const fingerprint = JSON.stringify(sorted);
        if (fingerprint === this.fingerprint) {
            return;
        }
        this.fingerprint = fingerprint;
        this.vms = new Map(sorted.map(vm => [vm.name, vm]));
        this.changes += 1;
    }

    private recordAvailability(available: boolean): void {
        if (available !== this.available) {
            this.options.logger.info(
                available ? "The VM list is available again." : "The VM list is unavailable; keeping the last one.",
            );
        }
        this.available = available;
    }
}

import type { VmDirectory, VmRecord } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger } from "@fescuehaven/telemetry";
import type { VmView } from "./ports/VmView.js";
import { withDeadline } from "./util/withDeadline.js";

/** Time between two reads of the list, ms. */
const DEFAULT_REFRESH_MS = 2000;
/** A read without an answer is given up after this long, ms. */
const READ_TIMEOUT_MS = 10_000;
/** Part of the refresh time by which each wait is shortened at random, so that processes spread out. */
const JITTER = 0.3;

/** Options of `VmListSync`. */
interface VmListSyncOptions {
    directory: VmDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
    refreshMs?: number;
}

/** Reads the platform's list of VMs again and again. While the platform is down the last list stays. */
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

    /** Changes whenever the list changes. */
    get version(): number {
        return this.changes;
    }

    /** All VMs, by name. */
    list(): readonly VmRecord[] {
        return [...this.vms.values()];
    }

    /** One VM, or undefined. */
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
        this.report(outcome?.kind === "listed");
        if (outcome?.kind === "listed") {
            this.adopt(outcome.vms);
        }
    }

    private adopt(vms: readonly VmRecord[]): void {
        const sorted = [...vms].sort((a, b) => a.name < b.name ? -1 : 1);
        const fingerprint = JSON.stringify(sorted);
        if (fingerprint === this.fingerprint) {
            return;
        }
        this.fingerprint = fingerprint;
        this.vms = new Map(sorted.map(vm => [vm.name, vm]));
        this.changes += 1;
    }

    private report(available: boolean): void {
        if (available !== this.available) {
            this.options.logger.info(
                available ? "VM list is readable again." : "VM list is not readable; keeping the last.",
            );
        }
        this.available = available;
    }
}

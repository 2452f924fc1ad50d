import type { Clock } from "@fescuehaven/runtime";
import type { RunningSystem } from "../system/RunningSystem.js";

/** A time span in which a process may close its connections, on the monotonic clock. */
interface Disturbance {
    process: string;
    fromMs: number;
    /** Infinity while the disturbance lasts. */
    toMs: number;
}

/** State that concurrent faults share, so that the end of one doesn't undo another. */
export class ChaosState {
    /** Zones whose addresses the platform blocks. */
    readonly partitionedZones = new Set<string>();
    /** VMs that the platform lists as leaving. */
    readonly leavingVms = new Set<string>();
    private readonly disturbances: Disturbance[] = [];
    private intentCount = 0;

    private constructor(private readonly clock: Clock) {}

    /** Creates the state of a run without faults. */
    static create(clock: Clock): ChaosState {
        return new ChaosState(clock);
    }

    /** Returns a unique name for a maintenance intent. */
    intentName(target: string): string {
        this.intentCount += 1;
        return `chaos-${target}-${this.intentCount}`;
    }

    /** Runs `action` on a process and records the time span; does nothing while another fault disturbs the process. */
    async disturb(process: string, action: () => Promise<void>): Promise<void> {
        if (this.disturbances.some(other => other.process === process && other.toMs === Infinity)) {
            return;
        }
        const disturbance = { process, fromMs: this.clock.monotonicMs(), toMs: Infinity };
        this.disturbances.push(disturbance);
        await action();
        disturbance.toMs = this.clock.monotonicMs();
    }

    /** Returns whether a process was disturbed at any time from `fromMs` to `toMs`. */
    wasDisturbed(process: string, fromMs: number, toMs: number): boolean {
        return this.disturbances.some(other =>
            other.process === process && other.fromMs <= toMs && other.toMs >= fromMs
        );
    }

    /** Makes the platform block the addresses of the partitioned zones. */
    async applyPartitions(system: RunningSystem): Promise<void> {
        const blockedAddresses = [...this.partitionedZones].flatMap(zone => system.addressesOf(zone));
        await system.platform.setFaults({ blockedAddresses });
    }

    /** Updates the platform's list of VMs with those that are leaving. */
    async applyLeavingVms(system: RunningSystem): Promise<void> {
        const vms = system.topology.vmRecords().map(vm =>
            this.leavingVms.has(vm.name) ? { ...vm, state: "leaving" as const } : vm
        );
        await system.platform.setVms(vms);
    }
}

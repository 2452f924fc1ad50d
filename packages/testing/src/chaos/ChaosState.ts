import type { Clock } from "@fescuehaven/runtime";
import type { RunningSystem } from "../system/RunningSystem.js";

/** A span of time in which a process may break its connections, on the monotonic clock. */
interface Disturbance {
    process: string;
    fromMs: number;
    /** Infinity while it lasts. */
    toMs: number;
}

/** What faults in progress share, as they must not undo one another. */
export class ChaosState {
    /** Zones that are cut off from the platform. */
    readonly cutOffZones = new Set<string>();
    /** VMs that are leaving. */
    readonly leavingVms = new Set<string>();
    private readonly disturbances: Disturbance[] = [];
    private intentCount = 0;

    private constructor(private readonly clock: Clock) {}

    /** Creates the state of a run without faults. */
    static create(clock: Clock): ChaosState {
        return new ChaosState(clock);
    }

    /** A name for an intent that no other one has. */
    intentName(target: string): string {
        this.intentCount += 1;
        return `chaos-${target}-${this.intentCount}`;
    }

    /** Runs `action` on a process unless another fault has it in hand. */
    async disturb(process: string, action: () => Promise<void>): Promise<void> {
        if (this.disturbances.some(other => other.process === process && other.toMs === Infinity)) {
            return;
        }
        const disturbance = { process, fromMs: this.clock.monotonicMs(), toMs: Infinity };
        this.disturbances.push(disturbance);
        await action();
        disturbance.toMs = this.clock.monotonicMs();
    }

    /** True when a process was disturbed at some time between the two. */
    wasDisturbed(process: string, fromMs: number, toMs: number): boolean {
        return this.disturbances.some(other =>
            other.process === process && other.fromMs <= toMs && other.toMs >= fromMs
        );
    }

    /** Tells the platform which zones are cut off. */
    async applyCuts(system: RunningSystem): Promise<void> {
        const blockedAddresses = [...this.cutOffZones].flatMap(zone => system.addressesOf(zone));
        await system.platform.setFaults({ blockedAddresses });
    }

    /** Tells the platform which VMs are leaving. */
    async applyLeaving(system: RunningSystem): Promise<void> {
        const vms = system.topology.vmRecords().map(vm =>
            this.leavingVms.has(vm.name) ? { ...vm, state: "leaving" as const } : vm
        );
        await system.platform.setVms(vms);
    }
}

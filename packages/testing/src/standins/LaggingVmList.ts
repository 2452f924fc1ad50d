import type { VmRecord } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";

/** The platform's list of VMs, in which each change becomes visible only after a lag. */
export class LaggingVmList {
    private visible: VmRecord[];
    private pending: Array<{ visibleAtMs: number; vms: VmRecord[]; }> = [];

    private constructor(private readonly clock: Clock, private readonly lagMs: number, vms: VmRecord[]) {
        this.visible = vms;
    }

    /** Creates a list in which `vms` are visible at once. */
    static create(clock: Clock, lagMs: number, vms: VmRecord[]): LaggingVmList {
        return new LaggingVmList(clock, lagMs, vms);
    }

    /** Replaces the list; the new one becomes visible after the lag. */
    replace(vms: VmRecord[]): void {
        this.pending.push({ visibleAtMs: this.clock.monotonicMs() + this.lagMs, vms });
    }

    /** Returns the list that is visible now. */
    read(): VmRecord[] {
        const nowMs = this.clock.monotonicMs();
        while (this.pending[0] && this.pending[0].visibleAtMs <= nowMs) {
            this.visible = this.pending[0].vms;
            this.pending.shift();
        }
        return this.visible;
    }
}

import { rendezvousOrder } from "./util/rendezvousOrder.js";

/** What a process does for a VM: the prober, the one that steps in first, or one of the rest. */
type ProbeShare = "prober" | "backup" | "listener";

/** Splits the probing of VMs among processes by rendezvous hashing, and remembers the result while nothing changes. */
export class ProbeShares {
    private fingerprint = "";
    private shares = new Map<string, ProbeShare>();

    private constructor(private readonly process: string, private readonly probes: boolean) {}

    /** Creates the split as seen by `process`; `probes` false: it probes only where no other process does. */
    static create(process: string, probes: boolean): ProbeShares {
        return new ProbeShares(process, probes);
    }

    /** Share of a VM, where `others` are the probing processes that this one hears. */
    of(vm: string, others: readonly string[]): ProbeShare {
        const fingerprint = others.join("\n");
        if (fingerprint !== this.fingerprint) {
            this.fingerprint = fingerprint;
            this.shares = new Map();
        }
        const share = this.shares.get(vm) ?? this.compute(vm, others);
        this.shares.set(vm, share);
        return share;
    }

    private compute(vm: string, others: readonly string[]): ProbeShare {
        if (others.length === 0) {
            return "prober";
        }
        if (!this.probes) {
            return "listener";
        }
        const rank = rendezvousOrder(vm, [...others, this.process]).indexOf(this.process);
        return (["prober", "backup"] as const)[rank] ?? "listener";
    }
}

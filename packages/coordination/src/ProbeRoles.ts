import { rendezvousOrder } from "./util/rendezvousOrder.js";

/** Role of a process for a VM: its prober, the backup that takes over first, or one of the remaining processes. */
type ProbeRole = "prober" | "backup" | "listener";

/** Distributes the probing of VMs among processes by rendezvous hashing. Caches the result while they do not change. */
export class ProbeRoles {
    private fingerprint = "";
    private roles = new Map<string, ProbeRole>();

    private constructor(private readonly process: string, private readonly probes: boolean) {}

    /** Creates the roles of `process`. If `probes` is false, it probes only while no other process does. */
    static create(process: string, probes: boolean): ProbeRoles {
        return new ProbeRoles(process, probes);
    }

    /** Returns the role for a VM; `others` are the probing processes whose observations this one receives. */
    roleFor(vm: string, others: readonly string[]): ProbeRole {
        const fingerprint = others.join("\n");
        if (fingerprint !== this.fingerprint) {
            this.fingerprint = fingerprint;
            this.roles = new Map();
        }
        const role = this.roles.get(vm) ?? this.compute(vm, others);
        this.roles.set(vm, role);
        return role;
    }

    private compute(vm: string, others: readonly string[]): ProbeRole {
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

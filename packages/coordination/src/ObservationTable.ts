import type { MemberObservation } from "./MemberObservation.js";
import { ChangeNotifier } from "./util/ChangeNotifier.js";

interface Row {
    own?: MemberObservation;
    remote?: MemberObservation;
    /** Observations made at or before this monotonic time are ignored. */
    invalidatedAtMs: number;
}

/** The newest observations of a zone's VMs, made by this process or received from others. */
export class ObservationTable {
    /** Notified with every observation made by this process. */
    readonly ownChanges = ChangeNotifier.create();

    private ownCount = 0;
    private readonly rows = new Map<string, Row>();
    /** Observations of any VM made at or before this monotonic time are ignored. */
    private allInvalidatedAtMs = -Infinity;

    private constructor(private readonly ttlMs: number) {}

    /** Creates an empty table; an observation is evidence for `ttlMs`. */
    static create(ttlMs: number): ObservationTable {
        return new ObservationTable(ttlMs);
    }

    /** Increases with every observation made by this process. */
    get ownVersion(): number {
        return this.ownCount;
    }

    /** Adds an observation made by this process. */
    putOwn(vm: string, observation: MemberObservation): void {
        if (this.isNewer(vm, observation, this.rows.get(vm)?.own)) {
            this.row(vm).own = observation;
            this.ownCount += 1;
            this.ownChanges.notify();
        }
    }

    /** Adds an observation received from another process; its time is already on this process's clock. */
    putRemote(vm: string, observation: MemberObservation): void {
        if (this.isNewer(vm, observation, this.rows.get(vm)?.remote)) {
            this.row(vm).remote = observation;
        }
    }

    /** Returns all observations made by this process. */
    own(): Array<[vm: string, observation: MemberObservation]> {
        const observed: Array<[string, MemberObservation]> = [];
        for (const [vm, row] of this.rows) {
            if (row.own) {
                observed.push([vm, row.own]);
            }
        }
        return observed;
    }

    /**
     * Returns the newest observation of a VM. Another process's failure to reach it does not replace evidence from this
     * process's own probe.
     */
    newest(vm: string, nowMs: number): MemberObservation | undefined {
        const { own, remote } = this.rows.get(vm) ?? {};
        if (!own || !remote) {
            return own ?? remote;
        }
        const ownIsEvidence = own.kind === "reported" && nowMs - own.observedAtMs < this.ttlMs;
        if (own.observedAtMs >= remote.observedAtMs || (remote.kind === "unreachable" && ownIsEvidence)) {
            return own;
        }
        return remote;
    }

    /** Drops the observations of a VM and ignores later ones unless they were made after `nowMs`. */
    invalidate(vm: string, nowMs: number): void {
        this.rows.set(vm, { invalidatedAtMs: nowMs });
    }

    /** Drops all observations and ignores later ones unless they were made after `nowMs`. */
    invalidateAll(nowMs: number): void {
        this.rows.clear();
        this.allInvalidatedAtMs = nowMs;
    }

    /** Removes VMs that no longer exist. */
    retain(vms: ReadonlySet<string>): void {
        [...this.rows.keys()].filter(vm => !vms.has(vm)).forEach(vm => this.rows.delete(vm));
    }

    private isNewer(vm: string, observation: MemberObservation, known: MemberObservation | undefined): boolean {
        const invalidatedAtMs = this.rows.get(vm)?.invalidatedAtMs ?? -Infinity;
        const knownAtMs = known?.observedAtMs ?? -Infinity;
        return observation.observedAtMs > Math.max(this.allInvalidatedAtMs, invalidatedAtMs, knownAtMs);
    }

    private row(vm: string): Row {
        const row = this.rows.get(vm) ?? { invalidatedAtMs: -Infinity };
        this.rows.set(vm, row);
        return row;
    }
}

import type { ConfigurationView, EvidenceView, FreeVm, VmView } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { DepartureReason } from "./DepartureReason.js";
import type { VmSnapshot } from "./VmSnapshot.js";

interface ZoneFleetOptions {
    zone: string;
    vms: VmView;
    evidence: EvidenceView;
    configuration: ConfigurationView;
    clock: Clock;
    timings: ControllerTimings;
    /** When this process last resumed after a pause: VMs do not become unresponsive for the time of the pause. */
    runningSinceMs: () => number;
}

/** The engine VMs of an availability zone, with what the platform's list, probes and maintenance intents show. */
export class ZoneFleet {
    private snapshots = new Map<string, VmSnapshot>();
    private readonly records = new Map<string, VmRecord>();
    private readonly lastSeenMs = new Map<string, number>();
    private readonly lastListedMs = new Map<string, number>();

    private constructor(private readonly options: ZoneFleetOptions) {}

    /** Creates a fleet without VMs; `refresh` fills it. */
    static create(options: ZoneFleetOptions): ZoneFleet {
        return new ZoneFleet(options);
    }

    /** Updates the snapshots of all listed VMs and of those that `ledger` claims. */
    refresh(ledger: ZoneLedger): void {
        const { vms, zone } = this.options;
        const listed = vms.list().filter(record => record.role === "engine" && record.zone === zone);
        listed.forEach(record => this.records.set(record.name, record));
        const listedNames = new Set(listed.map(record => record.name));
        const departureOf = this.createDepartureLookup();
        const names = new Set([...listedNames, ...Object.keys(ledger.claims)]);
        this.snapshots = new Map(
            [...names].sort().map(name => [name, this.createSnapshot(name, listedNames.has(name), departureOf)]),
        );
        [...this.records.keys()].filter(name => !names.has(name)).forEach(name => this.forget(name));
    }

    /** Returns the snapshot of a VM, also of one that is neither listed nor claimed. */
    get(name: string): VmSnapshot {
        return this.snapshots.get(name) ?? this.createSnapshot(name, false, () => undefined);
    }

    /** Returns the snapshots of all listed or claimed VMs, in order of name. */
    all(): VmSnapshot[] {
        return [...this.snapshots.values()];
    }

    /** Returns the VMs that `ledger` does not claim and whose recent report shows that they are empty. */
    free(ledger: ZoneLedger): FreeVm[] {
        return this.all().flatMap(snapshot =>
            snapshot.record && this.isClaimable(snapshot, ledger)
                ? [{ name: snapshot.name, fabricDomain: snapshot.record.fabricDomain }]
                : []
        );
    }

    private isClaimable(snapshot: VmSnapshot, ledger: ZoneLedger): boolean {
        return snapshot.listed && !snapshot.departure && !ledger.claims[snapshot.name]
            && snapshot.report?.phase === "empty";
    }

    private createSnapshot(
        name: string,
        listed: boolean,
        departureOf: (record: VmRecord) => DepartureReason | undefined,
    ): VmSnapshot {
        const { clock, evidence, runningSinceMs, timings } = this.options;
        const nowMs = clock.monotonicMs();
        const observation = evidence.observation(name);
        const reportedAtMs = observation?.kind === "reported" ? observation.observedAtMs : -Infinity;
        const seenMs = Math.max(this.lastSeenMs.get(name) ?? nowMs, reportedAtMs, runningSinceMs());
        this.lastSeenMs.set(name, seenMs);
        const listedMs = listed ? nowMs : this.lastListedMs.get(name) ?? nowMs;
        this.lastListedMs.set(name, listedMs);
        const isFresh = nowMs - reportedAtMs <= timings.observationMaxAgeMs;
        const record = this.records.get(name);
        return {
            name,
            record,
            listed,
            report: observation?.kind === "reported" && isFresh ? observation.report : undefined,
            reportedAtMs,
            unresponsive: nowMs - seenMs > timings.memberLostAfterMs,
            vanished: nowMs - Math.max(seenMs, listedMs) > timings.vanishedAfterMs,
            departure: record && departureOf(record),
        };
    }

    private createDepartureLookup(): (record: VmRecord) => DepartureReason | undefined {
        const targets = this.options.configuration.list("maintenance-intent").map(intent => intent.value.target);
        const vms = new Set(targets.filter(target => target.kind === "vm").map(target => target.name));
        const domains = new Set(targets.filter(target => target.kind === "fabric-domain").map(target => target.name));
        return record => {
            if (record.state === "leaving") {
                return "vm-leaving";
            }
            return vms.has(record.name) || domains.has(record.fabricDomain) ? "maintenance-intent" : undefined;
        };
    }

    private forget(name: string): void {
        this.records.delete(name);
        this.lastSeenMs.delete(name);
        this.lastListedMs.delete(name);
    }
}

import type { ConfigurationView, EvidenceView, FreeVm, VmView } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { DepartureReason } from "./DepartureReason.js";
import type { VmFacts } from "./VmFacts.js";

/** Dependencies of a `ZoneFleet`. */
interface ZoneFleetOptions {
    zone: string;
    vms: VmView;
    evidence: EvidenceView;
    configuration: ConfigurationView;
    clock: Clock;
    timings: ControllerTimings;
    /** When this process last resumed after a pause; time in which it could see nothing does not count. */
    runningSinceMs: () => number;
}

/** The engine VMs of an availability zone: what the platform's list, the probes and the intents say of each. */
export class ZoneFleet {
    private facts = new Map<string, VmFacts>();
    private readonly records = new Map<string, VmRecord>();
    private readonly lastSeenMs = new Map<string, number>();
    private readonly lastListedMs = new Map<string, number>();

    private constructor(private readonly options: ZoneFleetOptions) {}

    /** Creates a fleet without VMs; `refresh` fills it. */
    static create(options: ZoneFleetOptions): ZoneFleet {
        return new ZoneFleet(options);
    }

    /** Takes in what is known now of all listed VMs and of those that `ledger` claims. */
    refresh(ledger: ZoneLedger): void {
        const { vms, zone } = this.options;
        const listed = vms.list().filter(record => record.role === "engine" && record.zone === zone);
        listed.forEach(record => this.records.set(record.name, record));
        const listedNames = new Set(listed.map(record => record.name));
        const departures = this.findDepartures();
        const names = new Set([...listedNames, ...Object.keys(ledger.claims)]);
        this.facts = new Map(
            [...names].sort().map(name => [name, this.describe(name, listedNames.has(name), departures)]),
        );
        [...this.records.keys()].filter(name => !names.has(name)).forEach(name => this.forget(name));
    }

    /** What is known of a VM. */
    get(name: string): VmFacts {
        return this.facts.get(name) ?? this.describe(name, false, () => undefined);
    }

    /** All VMs, in order of name. */
    all(): VmFacts[] {
        return [...this.facts.values()];
    }

    /** VMs that `ledger` does not claim and that were just seen empty. */
    free(ledger: ZoneLedger): FreeVm[] {
        return this.all().flatMap(facts =>
            facts.record && this.isClaimable(facts, ledger)
                ? [{ name: facts.name, fabricDomain: facts.record.fabricDomain }]
                : []
        );
    }

    private isClaimable(facts: VmFacts, ledger: ZoneLedger): boolean {
        return facts.listed && !facts.departure && !ledger.claims[facts.name] && facts.report?.phase === "empty";
    }

    private describe(
        name: string,
        listed: boolean,
        departureOf: (record: VmRecord) => DepartureReason | undefined,
    ): VmFacts {
        const { clock, evidence, runningSinceMs, timings } = this.options;
        const nowMs = clock.monotonicMs();
        const observation = evidence.observation(name);
        const reportedAtMs = observation?.kind === "reported" ? observation.observedAtMs : -Infinity;
        const seenMs = Math.max(this.lastSeenMs.get(name) ?? nowMs, reportedAtMs, runningSinceMs());
        this.lastSeenMs.set(name, seenMs);
        const listedMs = listed ? nowMs : this.lastListedMs.get(name) ?? nowMs;
        this.lastListedMs.set(name, listedMs);
        const isFresh = nowMs - reportedAtMs <= timings.observationFreshMs;
        const record = this.records.get(name);
        return {
            name,
            record,
            listed,
            report: observation?.kind === "reported" && isFresh ? observation.report : undefined,
            reportedAtMs,
            lost: nowMs - seenMs > timings.memberLostAfterMs,
            vanished: nowMs - Math.max(seenMs, listedMs) > timings.vanishedAfterMs,
            departure: record && departureOf(record),
        };
    }

    private findDepartures(): (record: VmRecord) => DepartureReason | undefined {
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

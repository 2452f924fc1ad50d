import type { StoredObject } from "@fescuehaven/platform";
import type { ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import type { ZoneFleet } from "./ZoneFleet.js";

interface DowntimeAccountingOptions {
    clock: Clock;
    recorder: EventRecorder;
    metrics: Metrics;
    zone: string;
}

/** Measures how long groups are out of service, and how many accelerators do no work in the meantime. */
export class DowntimeAccounting {
    private readonly servingEpoch = new Map<string, number>();
    private readonly closedAtMs = new Map<string, number>();

    private constructor(private readonly options: DowntimeAccountingOptions) {}

    /** Creates an instance that has not recorded any group. */
    static create(options: DowntimeAccountingOptions): DowntimeAccounting {
        return new DowntimeAccounting(options);
    }

    /** Returns true if the group was at this epoch when it was last in service. */
    wasServing(group: string, epoch: number): boolean {
        return this.servingEpoch.get(group) === epoch;
    }

    /** Records which groups are in service now, and updates the metrics. */
    update(
        ledger: ZoneLedger,
        specs: ReadonlyArray<StoredObject<ServingGroup>>,
        fleet: ZoneFleet,
        isServing: (group: string) => boolean,
    ): void {
        for (const { name } of specs) {
            const claimed = Object.keys(ledger.claims).filter(vm => ledger.claims[vm]?.group === name);
            this.recordGroup(name, ledger.groups[name]?.epoch ?? 0, isServing(name), countAccelerators(fleet, claimed));
        }
        const wanted = new Set(specs.map(spec => spec.name));
        [...this.closedAtMs.keys()].filter(name => !wanted.has(name)).forEach(name => this.closedAtMs.delete(name));
        this.recordAccelerators(ledger, specs, fleet, isServing);
    }

    /** Records when a group closes or is ready again. `accelerators` is the number that its claims cover. */
    private recordGroup(group: string, epoch: number, isServing: boolean, accelerators: number): void {
        const { clock, metrics, recorder } = this.options;
        const closedAtMs = this.closedAtMs.get(group);
        if (!isServing && closedAtMs === undefined) {
            this.closedAtMs.set(group, clock.monotonicMs());
            if (this.servingEpoch.has(group)) {
                recorder.record({ kind: "group-closed", group, epoch, count: accelerators });
            }
        }
        if (isServing) {
            this.servingEpoch.set(group, epoch);
        }
        if (isServing && closedAtMs !== undefined) {
            const durationMs = clock.monotonicMs() - closedAtMs;
            this.closedAtMs.delete(group);
            recorder.record({ kind: "group-ready", group, epoch, durationMs });
            metrics.timing("group.downtime_ms", durationMs, { group });
        }
    }

    private recordAccelerators(
        ledger: ZoneLedger,
        specs: ReadonlyArray<StoredObject<ServingGroup>>,
        fleet: ZoneFleet,
        isServing: (group: string) => boolean,
    ): void {
        const tags = { zone: this.options.zone };
        const idle = Object.entries(ledger.claims).filter(([, claim]) => !isServing(claim.group)).map(([vm]) => vm);
        const free = fleet.free(ledger).map(vm => vm.name);
        const isAnyGroupDown = specs.some(spec => !isServing(spec.name));
        this.options.metrics.gauge("accelerators.free", countAccelerators(fleet, free), tags);
        const stranded = countAccelerators(fleet, isAnyGroupDown ? [...idle, ...free] : idle);
        this.options.metrics.gauge("accelerators.stranded", stranded, tags);
        this.options.metrics.gauge("groups.down", specs.filter(spec => !isServing(spec.name)).length, tags);
    }
}

function countAccelerators(fleet: ZoneFleet, vms: readonly string[]): number {
    return vms.reduce((sum, vm) => sum + (fleet.get(vm).record?.accelerators ?? 0), 0);
}

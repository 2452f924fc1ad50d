import type { ConfigurationView } from "@fescuehaven/coordination";
import type { ObjectStore, StoredObject } from "@fescuehaven/platform";
import type { ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Metrics } from "@fescuehaven/telemetry";
import type { ControllerTimings } from "./ControllerTimings.js";
import { describeGroup } from "./describeGroup.js";
import { DowntimeAccounting } from "./DowntimeAccounting.js";
import { StatusWriter } from "./StatusWriter.js";
import type { ZoneFleet } from "./ZoneFleet.js";

interface GroupReporterOptions {
    process: string;
    zone: string;
    store: ObjectStore;
    configuration: ConfigurationView;
    fleet: ZoneFleet;
    clock: Clock;
    recorder: EventRecorder;
    metrics: Metrics;
    timings: ControllerTimings;
}

/** Reports on each group: its status in the platform, its downtime, and accelerators that do no work. */
export class GroupReporter {
    private readonly status: StatusWriter;
    private readonly accounting: DowntimeAccounting;

    private constructor(private readonly options: GroupReporterOptions) {
        this.status = StatusWriter.create(options);
        this.accounting = DowntimeAccounting.create(options);
    }

    /** Creates a reporter that has not reported anything. */
    static create(options: GroupReporterOptions): GroupReporter {
        return new GroupReporter(options);
    }

    /** Forgets which statuses were written, because another controller may have written newer ones. */
    reset(): void {
        this.status.reset();
    }

    /** Updates the downtime figures and starts to write every status that has changed. */
    report(
        ledger: ZoneLedger,
        specs: ReadonlyArray<StoredObject<ServingGroup>>,
        isServing: (group: string) => boolean,
    ): void {
        const { configuration, fleet } = this.options;
        this.accounting.update(ledger, specs, fleet, isServing);
        const groups = new Set([
            ...specs.map(spec => spec.name),
            ...Object.keys(ledger.groups),
            ...this.status.groups(),
        ]);
        for (const group of groups) {
            if (this.isInOtherZone(group)) {
                continue;
            }
            const spec = specs.find(other => other.name === group);
            const state = describeGroup({
                ledger,
                fleet,
                group,
                spec,
                hasModelVersion: configuration.get("model-version", spec?.value.modelVersion ?? "") !== undefined,
                isServing: isServing(group),
                wasServing: this.accounting.wasServing(group, ledger.groups[group]?.epoch ?? 0),
                isZoneOutOfService: this.isZoneOutOfService(),
            });
            this.status.publish(group, state);
        }
    }

    /** Returns true if the group now belongs to another availability zone, whose controller reports its status. */
    private isInOtherZone(group: string): boolean {
        const zone = this.options.configuration.get("serving-group", group)?.value.zone;
        return zone !== undefined && zone !== this.options.zone;
    }

    private isZoneOutOfService(): boolean {
        return this.options.configuration.list("maintenance-intent").some(({ value: { target } }) =>
            target.kind === "availability-zone" && target.name === this.options.zone
        );
    }
}

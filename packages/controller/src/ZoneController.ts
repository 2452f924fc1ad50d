import {
    type ConfigurationView,
    defaultLeaseTimings,
    type EngineControl,
    type EvidenceView,
    type LeaseTimings,
    leaseTimingsFor,
    placeBestFit,
    type PlacementPolicy,
    type VmView,
    ZoneLeaseManager,
    ZoneLedgerStore,
} from "@fescuehaven/coordination";
import type { ObjectStore, StoredObject } from "@fescuehaven/platform";
import type { ModelVersion, ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger, Metrics } from "@fescuehaven/telemetry";
import type { ControllerTimings } from "./ControllerTimings.js";
import { defaultControllerTimings } from "./defaultControllerTimings.js";
import { DrainMonitor } from "./DrainMonitor.js";
import { GroupReporter } from "./GroupReporter.js";
import { OrderDispatcher } from "./OrderDispatcher.js";
import { planZone } from "./planZone.js";
import { ZoneFleet } from "./ZoneFleet.js";

interface ZoneControllerOptions {
    /** Name of this process, unique in the system. */
    process: string;
    /** Availability zone that this controller manages. */
    zone: string;
    store: ObjectStore;
    configuration: ConfigurationView;
    evidence: EvidenceView;
    engines: EngineControl;
    vms: VmView;
    clock: Clock;
    random: Random;
    recorder: EventRecorder;
    logger: Logger;
    metrics: Metrics;
    timings?: Partial<ControllerTimings>;
    leaseTimings?: Partial<LeaseTimings>;
    /** Chooses VMs for new groups; `placeBestFit` when left out. */
    place?: PlacementPolicy;
}

/**
 * Reconciles the serving groups of one availability zone with the operators' objects: claims VMs in the ledger,
 * orders engines to load and unload, and reports status. One controller of a zone is active at a time; during an
 * outage of the platform, each controller only restores members under the existing claims.
 */
export class ZoneController {
    private readonly lease: ZoneLeaseManager;
    private readonly ledgers: ZoneLedgerStore;
    private readonly fleet: ZoneFleet;
    private readonly drainMonitor: DrainMonitor;
    private readonly orders: OrderDispatcher;
    private readonly reporter: GroupReporter;
    private readonly timings: ControllerTimings;
    private activeFence: number | undefined;

    private constructor(private readonly options: ZoneControllerOptions) {
        this.timings = { ...defaultControllerTimings, ...options.timings };
        const shared = { ...options, timings: this.timings };
        this.lease = ZoneLeaseManager.create({
            ...options,
            timings: {
                ...leaseTimingsFor(options.leaseTimings?.durationMs ?? defaultLeaseTimings.durationMs),
                ...options.leaseTimings,
            },
        });
        this.ledgers = ZoneLedgerStore.create(options);
        this.fleet = ZoneFleet.create({ ...shared, runningSinceMs: () => this.lease.runningSinceMs() });
        this.drainMonitor = DrainMonitor.create({ clock: options.clock, fleet: this.fleet, timings: this.timings });
        this.reporter = GroupReporter.create({ ...shared, fleet: this.fleet });
        this.orders = OrderDispatcher.create({
            ...shared,
            fleet: this.fleet,
            modelVersion: name => this.modelVersion(name),
            mayOrder: () => this.isActive() || this.isPlatformDown(),
        });
    }

    /** Creates a controller; `run` starts it. */
    static create(options: ZoneControllerOptions): ZoneController {
        return new ZoneController(options);
    }

    /** Manages the zone until `signal` aborts, then releases the lease. */
    async run(signal: AbortSignal): Promise<void> {
        const lease = this.lease.run(signal);
        while (!signal.aborted) {
            const seenVersion = this.options.configuration.version;
            await this.reconcile();
            await this.waitForWork(seenVersion, signal);
        }
        await lease;
    }

    /** Returns true if this controller holds the zone's lease. */
    isActive(): boolean {
        return this.lease.held() !== undefined;
    }

    /** Brings the zone one step closer to the state that operators asked for. One iteration of `run`. */
    async reconcile(): Promise<void> {
        if (!this.options.configuration.complete) {
            return;
        }
        const fence = this.lease.held();
        if (fence === undefined) {
            this.activeFence = undefined;
            return this.standBy();
        }
        if (!await this.synchronise(fence)) {
            return;
        }
        await this.commitPlan(fence);
        const ledger = this.ledgers.current;
        if (ledger && this.isActive()) {
            this.orders.dispatchLoads(ledger);
            this.orders.dispatchUnloads(ledger, group => this.drainMonitor.isDrained(ledger, group));
            this.reporter.report(ledger, this.specs(), group => this.isServing(ledger, group));
        }
    }

    /** Reads the ledger if this controller has become active or a newer ledger is known. Returns false on failure. */
    private async synchronise(fence: number): Promise<boolean> {
        const known = this.options.configuration.get("zone-ledger", this.options.zone);
        const isBehind = (known?.revision ?? 0) > this.ledgers.revision;
        if (this.activeFence !== fence || !this.ledgers.current || isBehind) {
            const outcome = await this.ledgers.refresh();
            if (outcome.kind === "invalid") {
                this.options.logger.error(`The stored ledger is invalid: ${outcome.reason}.`);
            }
            if (outcome.kind !== "read") {
                return false;
            }
        }
        if (this.activeFence !== fence) {
            this.reporter.reset();
        }
        this.activeFence = fence;
        return true;
    }

    private async commitPlan(fence: number): Promise<void> {
        const ledger = this.ledgers.current;
        if (!ledger) {
            return;
        }
        this.observe(ledger);
        const planned = planZone({
            ledger,
            specs: this.specs(),
            fleet: this.fleet,
            place: this.options.place ?? placeBestFit,
            modelVersion: name => this.modelVersion(name),
            isServing: group => this.isServing(ledger, group),
            isDrained: group => this.drainMonitor.isDrained(ledger, group),
            isUnloaded: (vm, epoch) => this.orders.isUnloaded(vm, epoch),
            highestFence: vm => this.orders.highestFence(vm),
        });
        if (!planned) {
            return;
        }
        const outcome = await this.ledgers.commit(planned, fence);
        if (outcome.kind === "invalid") {
            this.options.logger.error(`The planned ledger was not written: ${outcome.reason}.`);
        }
        if (outcome.kind === "committed") {
            this.recordClaims(ledger, planned);
        }
        if (this.ledgers.current) {
            this.observe(this.ledgers.current);
        }
    }

    /**
     * Keeps the fleet data up to date, so that it is available after a takeover. While the platform is down, restores
     * members under the existing claims, without changing any claim.
     */
    private standBy(): void {
        const ledger = this.newestLedger();
        if (!ledger) {
            return;
        }
        this.observe(ledger);
        if (this.isPlatformDown()) {
            this.orders.dispatchRepairs(ledger);
        }
    }

    /** Returns the newest ledger that this process has read or received from peers. */
    private newestLedger(): ZoneLedger | undefined {
        const replicated = this.options.configuration.get("zone-ledger", this.options.zone);
        const isNewer = replicated !== undefined && replicated.revision > this.ledgers.revision;
        return isNewer ? replicated.value : this.ledgers.current ?? replicated?.value;
    }

    private isPlatformDown(): boolean {
        return this.lease.platformSilentMs() > this.timings.outageAfterMs;
    }

    private observe(ledger: ZoneLedger): void {
        this.fleet.refresh(ledger);
        this.drainMonitor.refresh(ledger);
    }

    private isServing(ledger: ZoneLedger, group: string): boolean {
        const evidence = this.options.evidence.ready(group);
        const entry = ledger.groups[group];
        const isOpen = entry?.members.every(vm => ledger.claims[vm]?.state === "held") ?? false;
        return isOpen && evidence !== undefined && evidence.epoch === entry?.epoch;
    }

    private recordClaims(before: ZoneLedger, after: ZoneLedger): void {
        for (const [group, entry] of Object.entries(after.groups)) {
            if (before.groups[group]?.epoch !== entry.epoch) {
                const count = entry.members.length;
                this.options.recorder.record({ kind: "group-claimed", group, epoch: entry.epoch, count });
                this.options.logger.info(`Claimed ${count} VMs for ${group} at epoch ${entry.epoch}.`);
            }
        }
    }

    private specs(): Array<StoredObject<ServingGroup>> {
        return this.options.configuration.list("serving-group")
            .filter(spec => spec.value.zone === this.options.zone)
            .sort((left, right) => left.name < right.name ? -1 : 1);
    }

    private modelVersion(name: string): ModelVersion | undefined {
        return this.options.configuration.get("model-version", name)?.value;
    }

    private async waitForWork(seenVersion: number, signal: AbortSignal): Promise<void> {
        if (signal.aborted) {
            return;
        }
        const waiting = new AbortController();
        const stop = () => waiting.abort();
        signal.addEventListener("abort", stop, { once: true });
        await Promise.race([
            this.options.configuration.changed(seenVersion, waiting.signal),
            this.options.clock.sleep(this.timings.reconcileIntervalMs, waiting.signal),
        ]);
        waiting.abort();
        signal.removeEventListener("abort", stop);
    }
}

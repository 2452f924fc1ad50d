import type { LeaseTimings } from "@fescuehaven/coordination";
import type { GroupStatus, ZoneLedger } from "@fescuehaven/resources";
import {
    FakeConfiguration,
    FakeEngines,
    FakeEvidence,
    FakeVms,
    FaultyProcess,
    ManualClock,
    MemoryEventRecorder,
    MemoryObjectStore,
    SeededRandom,
    SilentLogger,
    SilentMetrics,
} from "@fescuehaven/testing";
import { type ControllerTimings, ZoneController } from "../../src/index.js";
import { InvariantChecker } from "./InvariantChecker.js";

const ZONE = "z1";

/** Time by which `run` advances the clock before each check of the invariants. */
const STEP_MS = 100;

/** Test bench: one availability zone in memory with any number of controllers. */
export class ZoneBench {
    readonly clock = ManualClock.create();
    readonly store = MemoryObjectStore.create(this.clock);
    readonly engines = FakeEngines.create(this.clock);
    readonly configuration = FakeConfiguration.create();
    readonly vms = FakeVms.create();
    readonly recorder = MemoryEventRecorder.create();
    readonly evidence = FakeEvidence.create({
        clock: this.clock,
        engines: this.engines,
        ledger: () => this.ledger,
    });
    /** If false, controllers learn of new ledgers only from the platform. */
    replicatesLedger = true;

    /** Controllers in order of their start. */
    readonly controllers: ZoneController[] = [];

    private readonly invariants = InvariantChecker.create(this.engines, this.clock);
    private readonly stops = new Map<string, AbortController>();
    private readonly tasks: Array<Promise<void>> = [];
    private replicatedRevision = 0;
    private broken: Error | undefined;

    private constructor() {
        const write = this.store.write.bind(this.store);
        this.store.write = async (key, value, expected) => {
            const outcome = await write(key, value, expected);
            this.checkInvariants();
            return outcome;
        };
    }

    /** Creates a zone with the given number of VMs in each fabric domain, named DOMAIN-1 and so on. */
    static create(domains: Record<string, number>, options: { obeysFencing?: boolean; } = {}): ZoneBench {
        const bench = new ZoneBench();
        let port = 0;
        for (const [fabricDomain, count] of Object.entries(domains)) {
            for (let index = 1; index <= count; index++) {
                port += 1;
                const record = {
                    name: `${fabricDomain}-${index}`,
                    region: "r1",
                    zone: ZONE,
                    fabricDomain,
                    role: "engine" as const,
                    address: "127.0.0.1",
                    enginePort: port,
                    accelerators: 8,
                    state: "live" as const,
                };
                bench.vms.put(record);
                bench.engines.add(record, options);
            }
        }
        bench.configuration.put("model-version", "m-1", { model: "m", version: "1", weightsPerMemberGiB: 10 });
        bench.configuration.put("model-version", "m-2", { model: "m", version: "2", weightsPerMemberGiB: 10 });
        return bench;
    }

    /** The ledger stored in the platform. */
    get ledger(): ZoneLedger | undefined {
        return this.store.peek("zone-ledger", ZONE)?.value as ZoneLedger | undefined;
    }

    /** Adds or changes a serving-group object. */
    addGroup(name: string, memberCount: number, modelVersion = "m-1"): void {
        const limits = { maxConcurrentRequests: 8, coldConcurrentRequests: 1 };
        this.configuration.put("serving-group", name, { zone: ZONE, modelVersion, memberCount, ...limits });
    }

    /** Adds a maintenance intent that takes the target out of service. */
    addIntent(name: string, kind: "vm" | "fabric-domain" | "availability-zone", target: string): void {
        const value = { target: { kind, name: target }, reason: "test", requestedBy: "test" };
        this.configuration.put("maintenance-intent", name, value);
    }

    /** Starts a controller in a process that can be paused and killed. `prepare` may set faults of the process. */
    start(
        name: string,
        options: {
            prepare?: (process: FaultyProcess) => void;
            timings?: Partial<ControllerTimings>;
            leaseTimings?: Partial<LeaseTimings>;
        } = {},
    ): FaultyProcess {
        const process = FaultyProcess.create(this);
        options.prepare?.(process);
        const controller = ZoneController.create({
            process: name,
            zone: ZONE,
            store: process.store,
            configuration: process.configuration,
            evidence: this.evidence,
            engines: process.engines,
            vms: this.vms,
            clock: process.clock,
            random: SeededRandom.create(1, `${name}-${this.tasks.length}`),
            recorder: this.recorder,
            logger: SilentLogger.create(),
            metrics: SilentMetrics.create(),
            timings: { drainBoundMs: 10_000, ...options.timings },
            leaseTimings: options.leaseTimings,
        });
        const stop = new AbortController();
        this.stops.set(name, stop);
        this.controllers.push(controller);
        this.tasks.push(controller.run(stop.signal));
        return process;
    }

    /** Asks a controller to stop. */
    stop(name: string): void {
        this.stops.get(name)?.abort();
    }

    /** Stops all controllers. */
    async close(): Promise<void> {
        this.stops.forEach(stop => stop.abort());
        await this.clock.advance(5000);
    }

    /** Advances the clock in small steps, checking the invariants after each. */
    async run(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            await this.clock.advance(STEP_MS);
            this.check();
        }
    }

    /** Checks the invariants and replicates the ledger to the controllers. */
    check(): void {
        const object = this.store.peek("zone-ledger", ZONE);
        this.checkInvariants();
        if (this.broken) {
            throw this.broken;
        }
        if (object && this.replicatesLedger && object.revision !== this.replicatedRevision) {
            this.replicatedRevision = object.revision;
            this.configuration.put("zone-ledger", ZONE, structuredClone(object.value) as ZoneLedger, object.revision);
        }
    }

    /** Keeps the first broken invariant, so that `check` fails the test rather than the controller's call. */
    private checkInvariants(): void {
        try {
            this.invariants.check(this.ledger, this.evidence);
        }
        catch (error) {
            this.broken ??= error as Error;
        }
    }

    /** Runs until `condition` holds; fails after `limitMs`. */
    async until(what: string, condition: () => boolean, limitMs = 60_000): Promise<number> {
        const startedMs = this.clock.monotonicMs();
        while (!condition()) {
            if (this.clock.monotonicMs() - startedMs > limitMs) {
                throw new Error(`Not within ${limitMs} ms: ${what}. ${JSON.stringify(this.ledger)}`);
            }
            await this.run(STEP_MS);
        }
        return this.clock.monotonicMs() - startedMs;
    }

    /** Whether a group is in service. */
    isReady(group: string): boolean {
        return this.evidence.ready(group) !== undefined;
    }

    /** VMs of a group by rank. */
    members(group: string): string[] {
        return this.ledger?.groups[group]?.members ?? [];
    }

    /** A group's status stored in the platform. */
    status(group: string): GroupStatus | undefined {
        return this.store.peek("group-status", group)?.value as GroupStatus | undefined;
    }
}

import fc from "fast-check";
import { ZoneBench } from "./support/ZoneBench.js";

/** Time within which a zone has to recover once all faults are over. */
const RECOVERY_MS = 240_000;

const SEEDS = (process.env["FESCUE_RANDOM_SEEDS"] ?? "1,2,3,4").split(",").map(Number);
const RUNS = Number(process.env["FESCUE_RANDOM_RUNS"] ?? 25);

const CONTROLLERS = ["c1", "c2"];
const GROUPS = { g: 3, h: 2, i: 2 };
const DOMAINS = { d1: 4, d2: 4 };
const VMS = Object.entries(DOMAINS).flatMap(([domain, count]) =>
    Array.from({ length: count }, (_, index) => `${domain}-${index + 1}`)
);

/** One fault or change, applied to a running zone. */
type Action = (zone: RandomZone) => void;

/** A zone with two controllers, to which actions are applied. */
class RandomZone {
    readonly bench: ZoneBench;
    readonly processes = new Map<string, ReturnType<ZoneBench["start"]>>();
    private starts = 0;

    private constructor(obeysFencing: boolean, probeEveryMs: number) {
        this.bench = ZoneBench.create(DOMAINS, { obeysFencing });
        this.bench.evidence.probeEveryMs = probeEveryMs;
        Object.entries(GROUPS).forEach(([group, count]) => this.bench.addGroup(group, count));
        CONTROLLERS.forEach(name => this.restart(name));
    }

    static create(options: { obeysFencing: boolean; probeEveryMs: number; }): RandomZone {
        return new RandomZone(options.obeysFencing, options.probeEveryMs);
    }

    /** Kills a controller and starts another in its place. */
    restart(name: string): void {
        this.processes.get(name)?.kill();
        this.starts += 1;
        this.processes.set(name, this.bench.start(`${name}-${this.starts}`));
    }

    /** The current process of a controller. */
    process(name: string): ReturnType<ZoneBench["start"]> {
        const process = this.processes.get(name);
        if (!process) {
            throw new Error(`No controller ${name}.`);
        }
        return process;
    }

    /** Ends all faults, delivers delayed orders, removes all intents and restores all groups. */
    endFaults(): void {
        const { bench } = this;
        Object.assign(bench.store.faults, { outage: false, loseNextAnswers: 0, loseNextWrites: 0, delayMs: 0 });
        bench.configuration.list("maintenance-intent").forEach(({ name }) =>
            bench.configuration.remove("maintenance-intent", name)
        );
        for (const vm of VMS) {
            const engine = bench.engines.get(vm);
            Object.assign(engine, { reachable: true, losesAnswers: false, delaysOrders: false, runningRequests: 0 });
            bench.engines.deliver(vm);
            bench.vms.put({ ...engine.record, state: "live" });
        }
        Object.entries(GROUPS).forEach(([group, count]) => bench.addGroup(group, count));
        bench.evidence.unobservedVms.clear();
        bench.replicatesLedger = true;
        this.processes.forEach(process => {
            process.isPlatformUnreachable = false;
            process.resume();
        });
    }
}

const vm = fc.constantFrom(...VMS);
const controller = fc.constantFrom(...CONTROLLERS);
const group = fc.constantFrom(...Object.keys(GROUPS) as Array<keyof typeof GROUPS>);
const domain = fc.constantFrom(...Object.keys(DOMAINS));
const flag = fc.boolean();

const actions: ReadonlyArray<fc.Arbitrary<Action>> = [
    vm.map(name => zone => zone.bench.engines.restart(name)),
    fc.tuple(vm, flag).map(([name, reachable]) => zone => void (zone.bench.engines.get(name).reachable = reachable)),
    fc.tuple(domain, flag).map(([name, reachable]) => zone =>
        VMS.filter(other => other.startsWith(name)).forEach(other =>
            zone.bench.engines.get(other).reachable = reachable
        )
    ),
    fc.tuple(vm, flag).map(([name, on]) => zone => void (zone.bench.engines.get(name).delaysOrders = on)),
    vm.map(name => zone => void zone.bench.engines.deliver(name)),
    fc.tuple(vm, flag).map(([name, on]) => zone => void (zone.bench.engines.get(name).losesResponses = on)),
    fc.tuple(vm, fc.nat(2)).map(([name, count]) => zone => void (zone.bench.engines.get(name).runningRequests = count)),
    flag.map(on => zone => void (zone.bench.store.faults.outage = on)),
    fc.constantFrom(0, 0, 300, 900).map(delayMs => zone => void (zone.bench.store.faults.delayMs = delayMs)),
    fc.nat(2).map(count => zone => void (zone.bench.store.faults.loseNextAnswers = count)),
    fc.nat(2).map(count => zone => void (zone.bench.store.faults.loseNextWrites = count)),
    controller.map(name => zone => zone.process(name).pause()),
    fc.tuple(controller, flag).map(([name, on]) => zone => void (zone.process(name).isPlatformUnreachable = on)),
    fc.tuple(vm, flag).map(([name, on]) => zone =>
        void (on ? zone.bench.evidence.unobservedVms.add(name) : zone.bench.evidence.unobservedVms.delete(name))
    ),
    flag.map(on => zone => void (zone.bench.replicatesLedger = on)),
    controller.map(name => zone => zone.process(name).resume()),
    controller.map(name => zone => zone.restart(name)),
    fc.tuple(vm, fc.constantFrom("live" as const, "leaving" as const)).map(([name, state]) => zone =>
        zone.bench.vms.put({ ...zone.bench.engines.get(name).record, state })
    ),
    vm.map(name => zone => zone.bench.vms.remove(name)),
    fc.tuple(vm, fc.constantFrom("a", "b")).map(([name, intent]) => zone => zone.bench.addIntent(intent, "vm", name)),
    fc.tuple(domain, fc.constantFrom("a", "b")).map(([name, intent]) => zone =>
        zone.bench.addIntent(intent, "fabric-domain", name)
    ),
    fc.constantFrom("a", "b").map(intent => zone => zone.bench.configuration.remove("maintenance-intent", intent)),
    group.map(name => zone => zone.bench.configuration.remove("serving-group", name)),
    fc.tuple(group, fc.constantFrom("m-1", "m-2")).map(([name, version]) => zone =>
        zone.bench.addGroup(name, GROUPS[name], version)
    ),
];

const step = fc.record({ act: fc.oneof(...actions), thenMs: fc.constantFrom(100, 300, 1000, 4000, 9000) });

interface Scenario {
    obeysFencing: boolean;
    probeEveryMs: number;
    steps: Array<{ act: Action; thenMs: number; }>;
}

const scenario: fc.Arbitrary<Scenario> = fc.record({
    obeysFencing: flag,
    probeEveryMs: fc.constantFrom(0, 700),
    steps: fc.array(step, { minLength: 3, maxLength: 25 }),
});

async function runScenario({ obeysFencing, probeEveryMs, steps }: Scenario): Promise<void> {
    const zone = RandomZone.create({ obeysFencing, probeEveryMs });
    const { bench } = zone;
    for (const { act, thenMs } of steps) {
        act(zone);
        await bench.run(thenMs);
    }
    zone.endFaults();
    await bench.until("recovered", () => Object.keys(GROUPS).every(name => bench.isReady(name)), RECOVERY_MS);
    await bench.until(
        "status",
        () => Object.keys(GROUPS).every(name => bench.status(name)?.phase === "ready"),
        RECOVERY_MS,
    );
    await bench.close();
}

describe("random faults", () => {
    for (const seed of SEEDS) {
        it(`keeps the invariants and recovers, seed ${seed}`, async () => {
            await fc.assert(fc.asyncProperty(scenario, runScenario), { seed, numRuns: RUNS, endOnFailure: true });
        });
    }
});

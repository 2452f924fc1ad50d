import { expect } from "chai";
import fc from "fast-check";
import { ConfigurationRig } from "./util/ConfigurationRig.js";

const NAMES = ["a/1", "a/2", "b/1", "b/2", "c/1", "c/2"];
const SEED = 20260101;
const RUNS = 40;
/** Longest time until all processes agree after every fault has ended. */
const CONVERGENCE_MS = 20_000;

type Step =
    | { kind: "write" | "remove" | "write-invalid"; object: string; }
    | { kind: "disconnect-platform" | "disconnect-zone" | "restart"; process: string; }
    | { kind: "compact" | "outage" | "silent-watches" | "heal"; };

const objectArbitrary = fc.constantFrom("x", "y", "z");
const processArbitrary = fc.constantFrom(...NAMES);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({ kind: fc.constantFrom("write", "remove", "write-invalid"), object: objectArbitrary }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constantFrom("disconnect-platform", "disconnect-zone", "restart"),
            process: processArbitrary,
        }),
    },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom("compact", "outage", "silent-watches", "heal") }) },
);

const intent = (reason: string) => ({ target: { kind: "vm", name: "vm" }, reason, requestedBy: "o" });

/** Checks that no process ever returns to a lower revision of an object. */
class RevisionChecker {
    private readonly highest = new Map<string, number>();

    observe(rig: ConfigurationRig): void {
        for (const [name, { sync }] of rig.processes) {
            for (const entry of sync.digest()) {
                const id = `${name} ${entry.kind}/${entry.name}`;
                expect(entry.revision, id).to.be.at.least(this.highest.get(id) ?? 0);
                this.highest.set(id, entry.revision);
                expect(sync.get("maintenance-intent", entry.name) === undefined, id).to.equal(entry.deleted);
            }
        }
    }

    /** Forgets a process, because its next run starts without any active object. */
    forget(name: string): void {
        [...this.highest.keys()].filter(id => id.startsWith(`${name} `)).forEach(id => this.highest.delete(id));
    }
}

async function perform(rig: ConfigurationRig, checker: RevisionChecker, step: Step): Promise<void> {
    const key = { kind: "maintenance-intent", name: "object" in step ? step.object : "" };
    const revision = rig.store.peek(key.kind, key.name)?.revision ?? 0;
    const handlers: Record<Step["kind"], () => unknown> = {
        write: () => rig.store.write(key, intent(`after ${revision}`), revision),
        "write-invalid": () => rig.store.write(key, {}, revision),
        remove: () => revision > 0 && rig.store.remove(key, revision),
        "disconnect-platform": () => rig.process("process" in step ? step.process : "").store.unreachable = true,
        "disconnect-zone": () =>
            rig.setLinks(name => "process" in step && name.startsWith(step.process.slice(0, 2)), "silent"),
        restart: async () => {
            const name = "process" in step ? step.process : "";
            const { unreachable } = rig.process(name).store;
            await rig.stopOne(name);
            checker.forget(name);
            rig.start(name);
            rig.process(name).store.unreachable = unreachable;
        },
        compact: () => rig.store.compact(),
        outage: () => rig.store.faults.outage = true,
        "silent-watches": () => rig.store.faults.silentWatches = true,
        heal: () => heal(rig),
    };
    await handlers[step.kind]();
}

function heal(rig: ConfigurationRig): void {
    rig.store.faults.outage = false;
    rig.store.faults.silentWatches = false;
    rig.processes.forEach(process => process.store.unreachable = false);
    rig.setLinks(name => name.startsWith("a/"), "open");
    rig.setLinks(name => name.startsWith("b/"), "open");
}

/** Returns the names of the store's valid objects, which should be active in every process. */
function valid(rig: ConfigurationRig, names: readonly string[]): string[] {
    return names.filter(name => {
        const value = rig.store.peek("maintenance-intent", name)?.value;
        return value !== undefined && Object.keys(value as object).length > 0;
    });
}

describe("ConfigurationSync in random runs", () => {
    it("never returns to a lower revision, and agrees after every fault has ended", async () => {
        const plan = fc.array(fc.tuple(stepArbitrary, fc.integer({ min: 0, max: 4000 })), { maxLength: 25 });
        await fc.assert(
            fc.asyncProperty(plan, fc.integer({ min: 1, max: 1e6 }), async (steps, seed) => {
                const rig = ConfigurationRig.create(NAMES, seed);
                const checker = new RevisionChecker();
                rig.start(...NAMES);
                for (const [step, waitMs] of steps) {
                    await perform(rig, checker, step);
                    for (let elapsedMs = 0; elapsedMs < waitMs; elapsedMs += 500) {
                        await rig.clock.advance(Math.min(500, waitMs - elapsedMs));
                        checker.observe(rig);
                    }
                }
                heal(rig);
                await rig.clock.advance(CONVERGENCE_MS);
                checker.observe(rig);
                const active = NAMES.map(name =>
                    rig.sync(name).list("maintenance-intent").map(({ name, revision }) => ({ name, revision }))
                );
                NAMES.forEach((name, index) => expect(active[index], name).to.deep.equal(active[0]));
                const current = valid(rig, ["x", "y", "z"]).map(name => ({
                    name,
                    revision: rig.store.peek("maintenance-intent", name)?.revision ?? 0,
                }));
                expect(active[0]).to.include.deep.members(current);
                await rig.stop();
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});

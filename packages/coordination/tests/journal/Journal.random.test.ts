import { JournalRouters } from "@fescuehaven/testing";
import { expect } from "chai";
import fc from "fast-check";
import type { Journal, JournalClaim, JournalResponse } from "../../src/index.js";

const SEED = 20260101;
const RUNS = 150;
const ROUTERS = 3;
const KEYS = 2;

const attempts = fc.record({
    kind: fc.constant("attempt" as const),
    router: fc.nat(ROUTERS - 1),
    key: fc.nat(KEYS - 1),
    /** What follows a claim: whether the request is sent and whether its response arrives. */
    plan: fc.constantFrom("finish", "lose-answer", "release", "refused-by-service"),
    pauseMs: fc.constantFrom(0, 5, 600, 3000),
    /** The caller disconnects after this long. */
    callerTimeoutMs: fc.constantFrom(10, 700, 5000),
});
const faults = fc.oneof(
    fc.record({ kind: fc.constant("lose-answers" as const), count: fc.integer({ min: 1, max: 3 }) }),
    fc.record({ kind: fc.constant("lose-writes" as const), count: fc.integer({ min: 1, max: 3 }) }),
    fc.record({ kind: fc.constant("outage" as const), on: fc.boolean() }),
    fc.record({ kind: fc.constant("delay" as const), delayMs: fc.constantFrom(0, 5, 40, 400) }),
    fc.record({
        kind: fc.constant("link" as const),
        link: fc.nat(2),
        state: fc.constantFrom("open" as const, "refused" as const, "silent" as const),
    }),
);
const waits = fc.record({ kind: fc.constant("wait" as const), ms: fc.constantFrom(5, 50, 600, 2500) });
const steps = fc.array(fc.oneof({ weight: 3, arbitrary: attempts }, faults, { weight: 2, arbitrary: waits }), {
    minLength: 5,
    maxLength: 25,
});

type Step = (typeof steps) extends fc.Arbitrary<Array<infer T>> ? T : never;
type Attempt = Step & { kind: "attempt"; };

const LINKS = [["router-0", "router-1"], ["router-1", "router-2"], ["router-0", "router-2"]] as const;

/** The callers, and a plain service that records its executions. */
class Calls {
    readonly executions = new Map<number, string[]>();
    readonly running: Array<Promise<void>> = [];
    private attemptCount = 0;

    constructor(private readonly routers: JournalRouters) {}

    start(attempt: Attempt): void {
        this.attemptCount += 1;
        this.running.push(this.attempt(attempt, `attempt-${this.attemptCount}`));
    }

    claimOf(key: number, claimant: string): JournalClaim {
        return {
            clientAccount: "diving",
            route: "booking",
            idempotencyKey: `key-${key}`,
            claimant,
            requestDigest: "digest",
            issuedAt: new Date("2026-01-01T00:00:00Z"),
        };
    }

    private async attempt({ router, key, plan, pauseMs, callerTimeoutMs }: Attempt, claimant: string): Promise<void> {
        const { clock } = this.routers;
        const journal = this.routers.journals[router]!;
        const claim = this.claimOf(key, claimant);
        const callerTimeout = new AbortController();
        void clock.sleep(callerTimeoutMs).then(() => callerTimeout.abort());
        const outcome = await journal.claim(claim, callerTimeout.signal);
        if (outcome.kind === "unknown") {
            await journal.release(claim);
        }
        if (outcome.kind === "finished") {
            expect(outcome.response).to.deep.equal(responseOf(this.executions.get(key)![0]!));
        }
        if (outcome.kind === "claimed") {
            await clock.sleep(pauseMs);
            await this.afterClaim(journal, claim, key, plan);
        }
    }

    private async afterClaim(journal: Journal, claim: JournalClaim, key: number, plan: Attempt["plan"]): Promise<void> {
        if (plan === "release" || plan === "refused-by-service") {
            await journal.release(claim);
            return;
        }
        this.executions.set(key, [...this.executions.get(key) ?? [], claim.claimant]);
        if (plan === "finish") {
            await journal.finish(claim, responseOf(claim.claimant));
        }
    }
}

function responseOf(claimant: string): JournalResponse {
    return { status: 200, contentType: "text/plain", body: new Uint8Array(Buffer.from(claimant)) };
}

async function apply(routers: JournalRouters, calls: Calls, step: Step): Promise<void> {
    switch (step.kind) {
        case "attempt":
            return calls.start(step);
        case "lose-answers":
            routers.store.faults.loseNextAnswers = step.count;
            return;
        case "lose-writes":
            routers.store.faults.loseNextWrites = step.count;
            return;
        case "outage":
            routers.store.faults.outage = step.on;
            return;
        case "delay":
            routers.store.faults.delayMs = step.delayMs;
            return;
        case "link":
            routers.network.setLink(LINKS[step.link]![0], LINKS[step.link]![1], step.state);
            return;
        case "wait":
            await routers.clock.advance(step.ms);
    }
}

function heal(routers: JournalRouters): void {
    Object.assign(routers.store.faults, { outage: false, loseNextAnswers: 0, loseNextWrites: 0, delayMs: 0 });
    LINKS.forEach(([one, other]) => routers.network.setLink(one, other, "open"));
}

describe("Journal under random faults", () => {
    it("executes a key at most once, and returns correct outcomes to its repeats", async () => {
        await fc.assert(
            fc.asyncProperty(steps, async plan => {
                const routers = JournalRouters.create({ routerCount: ROUTERS });
                const calls = new Calls(routers);
                for (const step of plan) {
                    await apply(routers, calls, step);
                }
                heal(routers);
                await routers.until(Promise.all(calls.running));
                await routers.clock.advance(10_000);
                for (let key = 0; key < KEYS; key++) {
                    const executed = calls.executions.get(key) ?? [];
                    expect(executed.length).to.be.at.most(1);
                    const repeat = await routers.until(
                        routers.journals[0]!.claim(calls.claimOf(key, "repeat"), new AbortController().signal),
                    );
                    expect(repeat.kind).to.be.oneOf(["claimed", "held-by-other", "finished"]);
                    expect(repeat.kind === "claimed" && executed.length > 0).to.equal(false);
                    expect(repeat.kind === "finished" && executed.length === 0).to.equal(false);
                }
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});

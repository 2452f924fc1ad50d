import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { chooseGroup } from "../../src/placement/chooseGroup.js";
import { estimateTokens } from "../../src/placement/estimateTokens.js";
import { fitsMemory } from "../../src/placement/fitsMemory.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { peakTokens } from "../../src/placement/peakTokens.js";
import type { RequestTokens } from "../../src/placement/RequestTokens.js";
import type { TargetLoad } from "../../src/placement/TargetLoad.js";
import type { TrackedRequest } from "../../src/placement/TrackedRequest.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

/** Sizes of requests that differ by a factor of ten, in tokens. */
const sizes = {
    short: { promptTokens: 500, answerTokens: 60 },
    medium: { promptTokens: 1500, answerTokens: 180 },
    long: { promptTokens: 5000, answerTokens: 600 },
};
type Size = keyof typeof sizes;
const sizeNames: readonly Size[] = ["short", "short", "short", "medium", "medium", "long"];
/** With a mean of 2,000 tokens a request, memory is full at half of the 34 slots. */
const MEMORY_TOKENS = 30_000;
/** Requests per second for each group. */
const REQUESTS_PER_SECOND = 10;
/** Duration of a pass, in which each request gets an event. */
const PASS_MS = 50;
const DURATION_MS = 40_000;
/** A request that has no group after this time is refused. */
const TARGET_MS = 400;
const MAX_ANSWER_FACTOR = 4;

interface PlayedRequest {
    size: Size;
    arrivedAtMs: number;
    gateway: number;
    draw: number;
    promptTokens: number;
    expectedAnswerTokens: number;
    maxAnswerTokens: number;
    /** Length of the response, which only the engine knows. */
    answerTokens: number;
    outputTokens: number;
    tracked?: TrackedRequest;
}

interface PlayOptions {
    observesMemory: boolean;
    groupCount: number;
    gateways: number;
    /** Interval at which gateways learn of each other's loads. */
    exchangeMs: number;
    seed: number;
}

interface PlayOutcome {
    /** Requests by size that were offered, completed, preempted by the engine and refused. */
    bySize: Record<Size, { offered: number; completed: number; preempted: number; refused: number; }>;
    /** Largest number of tokens that a group's requests held, relative to its memory. */
    fullest: number;
    /** Mean of the same over the second half of the play. */
    mean: number;
}

/** Plays callers whose estimates are right at the median, with a log-normal spread, and groups that run out of memory. */
async function play(
    { observesMemory, groupCount, gateways, exchangeMs, seed }: PlayOptions,
) {
    const engine = { ...exampleEngine, slots: 34, kvCacheTokens: observesMemory ? MEMORY_TOKENS : undefined };
    const [model] = engine.models;
    const clock = ManualClock.create();
    const random = SeededRandom.create(seed);
    const trackers = Array.from({ length: gateways }, () => LoadTracker.create(clock));
    const groups = Array.from({ length: groupCount }, (): PlayedRequest[] => []);
    let waiting: PlayedRequest[] = [];
    const counts = () => ({ offered: 0, completed: 0, preempted: 0, refused: 0 });
    const outcome: PlayOutcome = {
        bySize: { short: counts(), medium: counts(), long: counts() },
        fullest: 0,
        mean: 0,
    };
    const heads = groups.map((_, index) => exampleUpstream(`g${index}`, { zone: "a" }));
    const gaussian = () => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const arrive = (nowMs: number) => {
        const size = sizeNames[Math.floor(random.next() * sizeNames.length)]!;
        const { promptTokens, answerTokens: expectedAnswerTokens } = sizes[size];
        const maxAnswerTokens = expectedAnswerTokens * MAX_ANSWER_FACTOR;
        const answerTokens = Math.min(maxAnswerTokens, expectedAnswerTokens * Math.exp(0.7 * gaussian()));
        const gateway = Math.floor(random.next() * gateways);
        const request = { size, arrivedAtMs: nowMs, gateway, promptTokens, expectedAnswerTokens, maxAnswerTokens };
        waiting.push({ ...request, answerTokens, outputTokens: 0, draw: random.next() });
        outcome.bySize[size].offered += 1;
    };
    /** Sends a request to a group; returns false if no group can take it. */
    const trySend = (request: PlayedRequest) => {
        const loads = trackers[request.gateway]!;
        const tokens = estimateTokens(engine, request, request.draw);
        const choice = chooseGroup(
            engine,
            groups.map((_, epoch) => ({
                name: `g${epoch}`,
                epoch,
                model: model!,
                head: heads[epoch]!,
                load: { ...loads.totalLoad(String(epoch)), pendingPrefillTokens: 0, silentMs: 0 },
                peakTokensWith: added => loads.peakTokensWith(String(epoch), added),
                failureRate: 0,
            })),
            { zone: "a", promptTokens: request.promptTokens, tokens, targetGapMs: 250, otherGateways: gateways - 1 },
            gateways > 12 ? { count: 3, random } : undefined,
        );
        if (choice) {
            const { epoch } = choice.candidate;
            request.tracked = loads.trackRequest(String(epoch), "llm", request.promptTokens, () => undefined, tokens);
            groups[epoch]!.push(request);
        }
        return choice !== undefined;
    };
    const heldTokens = (group: readonly PlayedRequest[]) =>
        group.reduce((sum, { promptTokens, outputTokens }) => sum + promptTokens + outputTokens, 0);
    const runPass = (epoch: number, nowMs: number) => {
        const group = groups[epoch]!;
        for (const request of group) {
            request.outputTokens += engine.stepsPerPass;
            request.tracked!.recordEvent();
        }
        const share = heldTokens(group) / MEMORY_TOKENS;
        outcome.fullest = Math.max(outcome.fullest, share);
        outcome.mean += nowMs >= DURATION_MS / 2 ? share * 2 * PASS_MS / DURATION_MS / groupCount : 0;
        while (heldTokens(group) > MEMORY_TOKENS) {
            const newest = group.pop()!;
            newest.tracked!.end();
            outcome.bySize[newest.size].preempted += 1;
        }
        const ended = group.filter(({ outputTokens, answerTokens }) => outputTokens >= answerTokens);
        for (const request of ended) {
            request.tracked!.end();
            outcome.bySize[request.size].completed += 1;
        }
        groups[epoch] = group.filter(request => !ended.includes(request));
    };
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += PASS_MS) {
        if (nowMs % exchangeMs === 0) {
            const reports = trackers.map(loads => loads.targetLoads(() => false));
            trackers.forEach((loads, index) =>
                reports.forEach((report, peer) => peer !== index && loads.setPeerLoads(`gateway-${peer}`, report))
            );
        }
        for (
            let due = random.next() * 2 * REQUESTS_PER_SECOND * groupCount * PASS_MS / 1000;
            due >= random.next();
            due -= 1
        ) {
            arrive(nowMs);
        }
        waiting = waiting.filter(request => !trySend(request));
        for (const { size } of waiting.filter(({ arrivedAtMs }) => nowMs - arrivedAtMs >= TARGET_MS)) {
            outcome.bySize[size].refused += 1;
        }
        waiting = waiting.filter(({ arrivedAtMs }) => nowMs - arrivedAtMs < TARGET_MS);
        groups.forEach((_, epoch) => runPass(epoch, nowMs));
        await clock.advance(PASS_MS);
    }
    return outcome;
}

describe("requests whose sizes differ by a factor of ten, where memory is the limit", () => {
    const fleets: ReadonlyArray<Pick<PlayOptions, "groupCount" | "gateways" | "exchangeMs">> = [
        { gateways: 1, exchangeMs: 100, groupCount: 5 },
        { gateways: 3, exchangeMs: 100, groupCount: 5 },
        { gateways: 12, exchangeMs: 100, groupCount: 5 },
        { gateways: 40, exchangeMs: 300, groupCount: 20 },
    ];
    for (const fleet of fleets) {
        // Guards against engines that preempt requests, or crash, because gateways fill slots and not memory.
        it(`keep within the memory of groups behind ${fleet.gateways} gateways`, async () => {
            const before = await play({ ...fleet, observesMemory: false, seed: 1 });
            const after = await play({ ...fleet, observesMemory: true, seed: 1 });
            const shown = JSON.stringify({ before, after });
            const total = (outcome: PlayOutcome, kind: keyof PlayOutcome["bySize"]["short"]) =>
                Object.values(outcome.bySize).reduce((sum, counts) => sum + counts[kind], 0);
            expect(total(before, "preempted") / total(before, "offered"), shown).to.be.greaterThan(0.25);
            // With 40 gateways, loads become known after several updates, in which a group can still get too much.
            expect(after.fullest, shown).to.be.lessThan(fleet.gateways <= 12 ? 1 : 1.5);
            expect(total(after, "preempted") / total(after, "offered"), shown).to.be.lessThan(0.005);
            expect(total(after, "completed"), shown).to.be.greaterThan(1.15 * total(before, "completed"));
        });
    }
});

describe("memory of a group", () => {
    const engine = { ...exampleEngine, kvCacheTokens: 10_000 };
    const tokensOf = (promptTokens: number, expectedAnswerTokens?: number, maxAnswerTokens = 0) =>
        estimateTokens(engine, { promptTokens, expectedAnswerTokens, maxAnswerTokens });
    const group = (load: Partial<TargetLoad>, peak?: number) => ({
        epoch: 0,
        load: { inFlight: 3, pendingPrefillTokens: 0, silentMs: 0, ...load },
        peakTokensWith: () => peak ?? Infinity,
    });

    // Guards against new behaviour where the operator has not configured it.
    it("is not observed without a configured size, or for requests that state no tokens", () => {
        expect(estimateTokens(exampleEngine, { promptTokens: 1e9, maxAnswerTokens: 1 })).to.equal(undefined);
        expect(fitsMemory(exampleEngine, group({ heldTokens: 1e9 }), undefined, 0)).to.equal(true);
        expect(fitsMemory(engine, group({ heldTokens: 1e9 }), tokensOf(0), 0)).to.equal(true);
    });

    const cases: ReadonlyArray<{ title: string; tokens: RequestTokens | undefined; expected: object; }> = [
        {
            title: "the caller's estimate with a margin",
            tokens: tokensOf(1000, 200),
            expected: { answerTokens: 260, isStated: true, exceedsMemory: false },
        },
        { title: "no more than the caller allows", tokens: tokensOf(1000, 200, 210), expected: { answerTokens: 210 } },
        {
            title: "the typical response without an estimate",
            tokens: tokensOf(1000),
            expected: { answerTokens: 152 * 1.3 },
        },
        { title: "the typical request where nothing is stated", tokens: tokensOf(0), expected: { promptTokens: 1115 } },
        { title: "a request that no group can hold", tokens: tokensOf(9900, 101), expected: { exceedsMemory: true } },
        { title: "a prompt of any number", tokens: tokensOf(Infinity, -5), expected: { exceedsMemory: true } },
    ];
    for (const { title, tokens, expected } of cases) {
        it(`expects ${title}`, () => {
            expect(tokens).to.deep.include(expected);
        });
    }

    it("takes what fits beside the expected load, and keeps a margin", () => {
        const request = tokensOf(1000, 100, 100);
        expect(fitsMemory(engine, group({ heldTokens: 7900 }), request, 0)).to.equal(true);
        expect(fitsMemory(engine, group({ heldTokens: 7901 }), request, 0)).to.equal(false);
        expect(fitsMemory(engine, group({ heldTokens: 7901 }, 8900), request, 0)).to.equal(true);
    });

    it("takes a request that fits without the margin only while it is idle", () => {
        const request = tokensOf(9500, 100, 100);
        expect(fitsMemory(engine, group({ inFlight: 0 }), request, 0)).to.equal(true);
        expect(fitsMemory(engine, group({ inFlight: 1, heldTokens: 10 }), request, 0)).to.equal(false);
    });

    // Old builds report no tokens. Their requests hold memory all the same.
    it("assumes typical requests of gateways that report none", () => {
        expect(fitsMemory(engine, group({ inFlight: 6 }), tokensOf(1000, 100), 0)).to.equal(true);
        expect(fitsMemory(engine, group({ inFlight: 7 }), tokensOf(1000, 100), 0)).to.equal(false);
        const loads = LoadTracker.create(ManualClock.create());
        loads.trackRequest("7", "llm", 1000, () => undefined, tokensOf(1000, 100, 100));
        loads.setPeerLoads("old", [["7", { inFlight: 3, pendingPrefillTokens: 0, silentMs: 0 }]]);
        loads.setPeerLoads("new", [["7", { inFlight: 1, pendingPrefillTokens: 0, silentMs: 0, heldTokens: 3100 }]]);
        expect(loads.totalLoad("7")).to.include({ inFlight: 5, heldTokens: 10_500 });
        const [[, remaining] = []] = loads.withoutPeer([["7", loads.totalLoad("7")]], "old");
        expect(remaining).to.include({ inFlight: 2, heldTokens: 4200 });
    });

    it("counts a request until it ends, and expects more of a response that exceeds its estimate", () => {
        const loads = LoadTracker.create(ManualClock.create());
        const heldTokens = () => loads.totalLoad("7").heldTokens;
        const request = loads.trackRequest("7", "llm", 1000, () => undefined, tokensOf(1000, 10, 100));
        expect(heldTokens()).to.equal(1013);
        request.recordEvent(2);
        expect(heldTokens()).to.equal(1013);
        request.recordEvent();
        expect(heldTokens()).to.equal(1036);
        request.recordEvent(10);
        expect(heldTokens()).to.equal(1100);
        loads.trackRequest("7", "llm", 1, () => undefined).end();
        request.end();
        request.end();
        expect(heldTokens()).to.equal(undefined);
    });

    it("needs less for requests that end before others grow than for the sum of all", () => {
        const ending = { heldTokens: 5000, remainingTokens: 10 };
        expect(peakTokens([ending, { heldTokens: 1000, remainingTokens: 600 }])).to.equal(6020);
        expect(peakTokens([])).to.equal(0);
    });
});

describe("a request of a known size", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create({ kvCacheTokens: 10_000 });
        rig.directory.set(exampleUpstream("g1", {
            zone: "a",
            model: "large",
            group: { name: "g1", epoch: 1, rank: 0, phase: "open" },
        }));
        rig.configure();
        rig.client.script(() => responses.stream(1, 2));
    });

    afterEach(() => rig.close());

    // Guards against callers that wait for memory that no group has.
    it("is refused at once if no group's whole memory can hold it", async () => {
        const response = rig.send({ promptTokens: 9950 });
        await rig.clock.settle();
        expect(response.refusal).to.include({ kind: "not-run", reason: "the request exceeds the memory of a group" });
        expect(rig.client.sent.length).to.equal(0);
    });

    it("waits for memory that others hold, and is then sent", async () => {
        rig.loads.setPeerLoads("b", [["1", { inFlight: 2, pendingPrefillTokens: 0, silentMs: 0, heldTokens: 8000 }]]);
        const response = rig.send();
        await rig.clock.advance(200);
        expect(rig.client.sent.length).to.equal(0);
        rig.loads.setPeerLoads("b", [["1", { inFlight: 1, pendingPrefillTokens: 0, silentMs: 0, heldTokens: 4000 }]]);
        await rig.clock.advance(100);
        expect(response.ending).to.equal("complete");
    });
});

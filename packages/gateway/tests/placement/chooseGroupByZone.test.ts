import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { chooseGroupByZone } from "../../src/placement/chooseGroupByZone.js";
import type { GroupCandidate } from "../../src/placement/GroupCandidate.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

type Load = Partial<GroupCandidate["load"]>;

function groups(zone: string, load: Load = {}, failureRate = 0): GroupCandidate[] {
    return [1, 2, 3].map(epoch => ({
        name: `${zone}${epoch}`,
        epoch,
        model: exampleEngine.models[0]!,
        head: exampleUpstream(`${zone}${epoch}`, { zone }),
        load: { inFlight: 0, pendingPrefillTokens: 0, silentMs: 0, ...load },
        failureRate,
    }));
}

const toB = [{ zone: "b", fraction: 1 }];
const busy: Load = { inFlight: 8, pendingPrefillTokens: 9000 };
const full: Load = { inFlight: exampleEngine.slots };

interface Case {
    title: string;
    candidates: GroupCandidate[];
    share?: number;
    targets?: typeof toB;
    expected: string;
    reason?: string;
}

const notInTime = "own zone has no group in time";
const cases: readonly Case[] = [
    {
        title: "stays, though another zone is idle",
        candidates: [...groups("a", { inFlight: 9 }), ...groups("b")],
        expected: "a",
    },
    {
        title: "leaves if it is drawn",
        candidates: [...groups("a"), ...groups("b")],
        share: 1,
        expected: "b",
        reason: "own zone is short",
    },
    {
        title: "stays if the drawn zone is full",
        candidates: [...groups("a"), ...groups("b", full)],
        share: 1,
        expected: "a",
    },
    {
        title: "leaves if the own zone is full",
        candidates: [...groups("a", full), ...groups("b")],
        expected: "b",
        reason: notInTime,
    },
    {
        title: "leaves if it is late only in the own zone",
        candidates: [...groups("a", busy), ...groups("b")],
        expected: "b",
        reason: notInTime,
    },
    {
        title: "stays, if it is one that is late everywhere",
        candidates: [...groups("a", busy), ...groups("b", { pendingPrefillTokens: 5000 })],
        expected: "a",
    },
    {
        title: "leaves if the own zone's groups are silent",
        candidates: [...groups("a", { silentMs: 900 }), ...groups("b")],
        expected: "b",
        reason: notInTime,
    },
    {
        title: "leaves if the own zone's groups fail",
        candidates: [...groups("a", {}, 0.8), ...groups("b")],
        expected: "b",
        reason: notInTime,
    },
    {
        title: "leaves for a zone without room if only that one serves",
        candidates: [...groups("a", full), ...groups("c")],
        targets: [],
        expected: "c",
        reason: notInTime,
    },
];

// Guards against requests that change zones for nothing, and against ones that wait in a zone that does not serve them.
describe("chooseGroupByZone", () => {
    for (const { title, candidates, share = 0, targets = toB, expected, reason } of cases) {
        it(`chooses for a request that ${title}`, () => {
            const request = { zone: "a", promptTokens: 700, targetGapMs: 1000, targetMs: 150 };
            const decision = { share, targets, reason: "own zone is short" as const };
            for (let seed = 1; seed <= 20; seed++) {
                const choice = chooseGroupByZone(
                    exampleEngine,
                    candidates,
                    request,
                    decision,
                    SeededRandom.create(seed),
                );
                expect([choice?.candidate.head.zone, choice?.leaveReason]).to.deep.equal([expected, reason]);
            }
        });
    }
});

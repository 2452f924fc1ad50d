import { expect } from "chai";
import { chooseGroup } from "../../src/placement/chooseGroup.js";
import type { GroupCandidate } from "../../src/placement/GroupCandidate.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

const [large] = exampleEngine.models;

function group(
    name: string,
    changes: Partial<GroupCandidate["load"]> = {},
    zone = "a",
    failureRate = 0,
): GroupCandidate {
    return {
        name,
        epoch: 1,
        model: large!,
        head: exampleUpstream(name, { zone }),
        load: { inFlight: 0, pendingPrefillTokens: 0, silentMs: 0, ...changes },
        failureRate,
    };
}

const cases: ReadonlyArray<{ title: string; groups: GroupCandidate[]; promptTokens?: number; expected?: string; }> = [
    { title: "no group", groups: [], expected: undefined },
    { title: "an idle group", groups: [group("g1")], expected: "g1" },
    {
        title: "the group with fewer requests",
        groups: [group("g1", { inFlight: 9 }), group("g2", { inFlight: 2 })],
        expected: "g2",
    },
    {
        title: "the group that prefills fewer tokens, though it has more decoding requests",
        groups: [group("g1", { inFlight: 3, pendingPrefillTokens: 6000 }), group("g2", { inFlight: 6 })],
        expected: "g2",
    },
    { title: "no group whose slots are all taken", groups: [group("g1", { inFlight: 18 })], expected: undefined },
    {
        title: "the own zone's group among equals",
        groups: [group("g1", {}, "b"), group("g2", {}, "a")],
        expected: "g2",
    },
    {
        title: "another zone's group if the own zone's is busy",
        groups: [group("g1", { inFlight: 12, pendingPrefillTokens: 4000 }, "a"), group("g2", {}, "b")],
        expected: "g2",
    },
    {
        title: "a busy group rather than a silent one",
        groups: [group("g1", { inFlight: 2, silentMs: 500 }), group("g2", { inFlight: 15 })],
        expected: "g2",
    },
    {
        title: "a silent group if there is no other",
        groups: [group("g1", { inFlight: 2, silentMs: 500 })],
        expected: "g1",
    },
    {
        title: "a healthy group rather than one whose requests fail",
        groups: [group("g1", {}, "a", 0.5), group("g2", { inFlight: 8 }, "a")],
        expected: "g2",
    },
    {
        title: "a busy group rather than one whose streams are slow",
        groups: [{ ...group("g1", { inFlight: 1 }), meanPauseMs: 900 }, group("g2", { inFlight: 10 })],
        expected: "g2",
    },
    {
        title: "the less loaded group though its pauses show that it prefills",
        groups: [{ ...group("g1", { inFlight: 1 }), meanPauseMs: 90 }, group("g2", { inFlight: 10 })],
        expected: "g1",
    },
    {
        title: "no group where the prompt would delay other requests beyond their allowed pause",
        groups: [group("g1", { inFlight: 8, pendingPrefillTokens: 9000 })],
        promptTokens: 4000,
        expected: undefined,
    },
    { title: "an idle group for a prompt of any size", groups: [group("g1")], promptTokens: 60_000, expected: "g1" },
];

describe("chooseGroup", () => {
    for (const { title, groups, promptTokens = 1000, expected } of cases) {
        it(`chooses ${title}`, () => {
            const choice = chooseGroup(exampleEngine, groups, { zone: "a", promptTokens, targetGapMs: 250 });
            expect(choice?.candidate.name).to.equal(expected);
        });
    }
});

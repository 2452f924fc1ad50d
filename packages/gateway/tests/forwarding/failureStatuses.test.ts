import { expect } from "chai";
import type { Route } from "../../src/model/Route.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

/** What a caller gets: a forwarded status, or the kind of a refusal. */
type CallerOutcome = number | "not-run" | "outcome-unknown";

interface ResponseCase {
    status: number;
    isSigned: boolean;
    /** For a request that may run at most once. */
    once: CallerOutcome;
    /** For a repeatable request if the second upstream succeeds. */
    repeated: CallerOutcome;
    /** For a repeatable request if both upstreams respond so. */
    exhausted: CallerOutcome;
}

const APP: Partial<Route> = { targets: [{ service: "app", weight: 1 }], targetLatencyMs: 400 };
const PROMISING_STATUSES = [408, 421, 429, 503];
const REJECTED: UpstreamResponse = { kind: "not-run", reason: "overloaded" };
const NOT_RESUMABLE: Partial<Route> = { isResumable: false };

const caseOf = (
    status: number,
    isSigned: boolean,
    once: CallerOutcome,
    repeated: CallerOutcome,
    exhausted: CallerOutcome,
): ResponseCase => ({ status, isSigned, once, repeated, exhausted });

/** Responses of plain upstreams that do not state that the request has not run. */
const plainCases: readonly ResponseCase[] = [
    caseOf(200, true, 200, 200, 200),
    caseOf(200, false, "outcome-unknown", 200, "outcome-unknown"),
    ...[true, false].flatMap(isSigned => [
        ...[302, 400, 401, 404, 413, 431].map(status => caseOf(status, isSigned, status, status, status)),
        ...PROMISING_STATUSES.map(status => caseOf(status, isSigned, "outcome-unknown", 200, "outcome-unknown")),
        ...[500, 502, 504, 599].map(status => caseOf(status, isSigned, status, 200, status)),
    ]),
];

/** The same for streams, before the first event. */
const streamCases: readonly ResponseCase[] = [
    caseOf(200, false, "outcome-unknown", 200, "outcome-unknown"),
    ...[true, false].flatMap(isSigned => [
        ...[302, 400, 404].map(status => caseOf(status, isSigned, status, 200, status)),
        ...PROMISING_STATUSES.map(status => caseOf(status, isSigned, "outcome-unknown", 200, "outcome-unknown")),
        ...[500, 502, 504].map(status => caseOf(status, isSigned, status, 200, status)),
    ]),
];

describe("a response that does not state that the request has not run", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
    });

    afterEach(() => rig.close());

    /** Sends a request to upstreams that respond one after the other; returns what its caller gets. */
    async function outcomeOf(...answers: UpstreamResponse[]): Promise<CallerOutcome> {
        rig.client.script(...answers.map(answer => () => answer));
        const sent = rig.send();
        await rig.clock.advance(1200);
        expect(sent.ending).to.equal("complete");
        return sent.refusal ? sent.refusal.kind as CallerOutcome : sent.status!;
    }

    function upstreamsOfAttempts(): string[] {
        return rig.client.sent.map(({ upstream }) => upstream);
    }

    describe("to a plain request", () => {
        beforeEach(() => ["u1", "u2"].forEach(id => rig.directory.set(exampleUpstream(id, { service: "app" }))));

        for (const { status, isSigned, once, repeated, exhausted } of plainCases) {
            const title = `${status}, ${isSigned ? "signed" : "not signed"}`;
            const answer = () => responses.complete(status, "text", isSigned);

            // Guards against callers who are told that a request has not run, and send it again, though it has.
            it(`becomes ${once} where it may run once: ${title}`, async () => {
                rig.configure({ ...APP, kind: "once" });
                expect(await outcomeOf(answer())).to.equal(once);
                expect(rig.client.sent.length).to.equal(1);
            });

            // Guards against a failure that another upstream would have made good.
            it(`becomes ${repeated} where it may be repeated and another upstream succeeds: ${title}`, async () => {
                rig.configure({ ...APP, kind: "repeatable" });
                expect(await outcomeOf(answer(), responses.complete(200, "ok"))).to.equal(repeated);
                expect(new Set(upstreamsOfAttempts()).size).to.equal(repeated === once ? 1 : 2);
            });

            it(`becomes ${exhausted} where it may be repeated and no attempt succeeds: ${title}`, async () => {
                rig.configure({ ...APP, kind: "repeatable" });
                expect(await outcomeOf(answer(), answer())).to.equal(exhausted);
            });
        }

        for (const status of PROMISING_STATUSES) {
            const answer = () => responses.complete(status, "text");

            it(`is withheld with ${status} if the other upstream rejects the request`, async () => {
                rig.configure({ ...APP, kind: "repeatable" });
                expect(await outcomeOf(answer(), REJECTED, REJECTED)).to.equal("outcome-unknown");
            });

            it(`is withheld with ${status} after a rejection`, async () => {
                rig.configure({ ...APP, kind: "once" });
                expect(await outcomeOf(REJECTED, answer())).to.equal("outcome-unknown");
            });

            it(`gives way with ${status} to a failure of another attempt that promises nothing`, async () => {
                rig.configure({ ...APP, kind: "repeatable" });
                expect(await outcomeOf(answer(), responses.complete(500, "no"))).to.equal(500);
                expect(await outcomeOf(responses.complete(500, "no"), answer())).to.equal(500);
            });

            it(`is logged with its status ${status}`, async () => {
                rig.configure({ ...APP, kind: "once" });
                await outcomeOf(answer());
                const ended = rig.log.lines.find(({ event }) => event === "attempt ended");
                expect(ended?.fields).to.include({ outcome: "withheld-answer", status });
            });
        }

        // Guards against a 502 for callers whose request has not run and who could have come back.
        it("differs from rejections by all upstreams, after which the request has not run", async () => {
            rig.configure({ ...APP, kind: "once" });
            expect(await outcomeOf(REJECTED, REJECTED)).to.equal("not-run");
        });
    });

    describe("to a stream before its first event", () => {
        beforeEach(() =>
            ["g1", "g2"].forEach((id, index) => {
                const group = { name: id, epoch: index + 1, rank: 0, phase: "open" as const };
                rig.directory.set(exampleUpstream(id, { model: "large", group }));
            })
        );

        for (const { status, isSigned, once, repeated, exhausted } of streamCases) {
            const title = `${status}, ${isSigned ? "signed" : "not signed"}`;
            const answer = () => responses.complete(status, "text", isSigned);

            // Guards against callers who are told that a stream has not run, and send it again, though it has.
            it(`becomes ${once} if it may not be resumed: ${title}`, async () => {
                rig.configure(NOT_RESUMABLE);
                expect(await outcomeOf(answer())).to.equal(once);
                expect(rig.client.sent.length).to.equal(1);
            });

            it(`becomes ${repeated} if it may be resumed and another group succeeds: ${title}`, async () => {
                rig.configure();
                expect(await outcomeOf(answer(), responses.stream(1, 2))).to.equal(repeated);
                expect(new Set(upstreamsOfAttempts()).size).to.equal(2);
            });

            it(`becomes ${exhausted} if it may be resumed and no attempt succeeds: ${title}`, async () => {
                rig.configure();
                expect(await outcomeOf(answer(), answer())).to.equal(exhausted);
            });
        }
    });

    for (const status of [404, 500, ...PROMISING_STATUSES]) {
        it(`breaks a stream off that has begun if no other group resumes it: ${status}`, async () => {
            rig.configure();
            const group = { name: "g1", epoch: 1, rank: 0, phase: "open" as const };
            rig.directory.set(exampleUpstream("g1", { model: "large", group }));
            rig.client.script(() => responses.brokenStream(1, 2), () => responses.complete(status, "text"));
            const sent = rig.send();
            await rig.clock.advance(100);
            expect([sent.status, sent.ending, sent.text.includes("text")]).to.deep.equal([200, "incomplete", false]);
        });
    }
});

describe("upstreams that fail requests at once", () => {
    const UPSTREAM_COUNT = 8;
    const FAILING_COUNT = 3;
    const REQUEST_COUNT = 300;
    const failures: ReadonlyArray<[string, () => UpstreamResponse]> = [
        ...[...PROMISING_STATUSES, 500].map(status =>
            [`${status}`, () => responses.complete(status, "no")] as [string, () => UpstreamResponse]
        ),
        ["200 without a signature", () => responses.complete(200, "no", false)],
    ];

    for (const [title, failure] of failures) {
        // Guards against quick failures that count as good and draw all requests, while sound upstreams are idle.
        it(`get no more than their share of the requests: ${title}`, async () => {
            const rig = ForwarderRig.create();
            rig.configure({ ...APP, kind: "once" });
            for (let index = 0; index < UPSTREAM_COUNT; index++) {
                rig.directory.set(exampleUpstream(`u${index}`, { service: "app", slots: 6 }));
            }
            const isFailing = (id: string) => Number(id.slice(1)) < FAILING_COUNT;
            rig.client.serve(async ({ id }, signal) => {
                if (isFailing(id)) {
                    return failure();
                }
                await rig.clock.sleep(60, signal);
                return responses.complete(200, "ok");
            });
            for (let index = 0; index < REQUEST_COUNT; index++) {
                rig.send({ id: `q${index}` });
                await rig.clock.advance(20);
            }
            const failed = rig.client.sent.filter(({ upstream }) => isFailing(upstream)).length;
            expect(failed).to.be.at.most(REQUEST_COUNT * FAILING_COUNT / UPSTREAM_COUNT);
            rig.close();
        });
    }
});

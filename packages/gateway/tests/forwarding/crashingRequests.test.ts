import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import type { RecordedResponse } from "../support/RecordedResponse.js";
import { responses } from "../support/responses.js";

const UPSTREAMS = 3;
const STABLE_WINDOW_MS = 3000;
/** Requests that may reach upstreams later than the stable window after the third crash. */
const MAX_LATE_SENDS = 3;
const CRASH_AFTER_MS = 50;
const RESTART_AFTER_MS = 3000;
const BAD = Buffer.from("bad");
const OTHER_BAD = Buffer.from("bad, too");

const paths = [
    {
        name: "plain requests that may be repeated",
        route: { kind: "repeatable" as const, targets: [{ service: "app", weight: 1 }] },
        upstream: (id: string, startedAtMs: number, _epoch: number): Upstream =>
            exampleUpstream(id, { startedAtMs, service: "app" }),
        response: () => responses.complete(200, "ok"),
    },
    {
        name: "plain requests that may not be repeated",
        route: { kind: "once" as const, targets: [{ service: "app", weight: 1 }] },
        upstream: (id: string, startedAtMs: number, _epoch: number): Upstream =>
            exampleUpstream(id, { startedAtMs, service: "app" }),
        response: () => responses.complete(200, "ok"),
    },
    {
        name: "streams without shared prompt parts",
        route: {},
        upstream: (id: string, startedAtMs: number, epoch: number): Upstream =>
            exampleUpstream(id, { startedAtMs, model: "large", group: { name: id, epoch, rank: 0, phase: "open" } }),
        response: () => responses.stream(1, 3),
    },
];

for (const { name, route, upstream, response } of paths) {
    describe(`requests that crash upstreams: ${name}`, () => {
        let rig: ForwarderRig;
        let starts: number;
        let requests: number;
        const crashing = new Set<string>();
        const downUntilMs = new Map<string, number>();
        const crashesAtMs = new Map<string, number[]>();
        const sentAtMs = new Map<string, number[]>();

        beforeEach(() => {
            rig = ForwarderRig.create({ retrySlack: 1000 });
            rig.configure(route);
            starts = 0;
            requests = 0;
            [BAD, OTHER_BAD].forEach(body => crashing.add(`/x ${body.toString()}`));
            downUntilMs.clear();
            crashesAtMs.clear();
            sentAtMs.clear();
            for (let index = 0; index < UPSTREAMS; index++) {
                start(`u${index}`);
            }
            rig.client.serve(async ({ id, startedAtMs }, _signal, call) => {
                if ((downUntilMs.get(id) ?? 0) > rig.clock.monotonicMs()) {
                    return { kind: "not-run", reason: "not-connected" };
                }
                const asked = `${call.request.target} ${call.request.body?.toString()}`;
                record(sentAtMs, asked);
                await rig.clock.sleep(CRASH_AFTER_MS);
                if (rig.directory.get(id)?.startedAtMs !== startedAtMs) {
                    return { kind: "unknown", reason: "other side closed" };
                }
                if (crashing.has(asked)) {
                    record(crashesAtMs, asked);
                    crash(id);
                    return { kind: "unknown", reason: "other side closed" };
                }
                return response();
            });
        });

        afterEach(() => rig.close());

        function start(id: string): void {
            starts += 1;
            rig.directory.set(upstream(id, 1000 + starts, starts));
        }

        function crash(id: string): void {
            downUntilMs.set(id, rig.clock.monotonicMs() + RESTART_AFTER_MS);
            void rig.clock.sleep(RESTART_AFTER_MS).then(() => start(id));
        }

        function send(body: Buffer, changes: { target?: string; } = {}): RecordedResponse {
            requests += 1;
            return rig.send({ id: `q${requests}`, body, ...changes });
        }

        function record(timesMs: Map<string, number[]>, asked: string): void {
            timesMs.set(asked, [...timesMs.get(asked) ?? [], rig.clock.monotonicMs()]);
        }

        async function sendEachSecond(seconds: number, ...bodies: readonly Buffer[]): Promise<void> {
            for (let second = 0; second < seconds; second++) {
                bodies.forEach(body => send(body));
                await rig.clock.advance(1000);
            }
        }

        function lateSends(body: Buffer): number {
            const asked = `/x ${body.toString()}`;
            const thirdCrashMs = crashesAtMs.get(asked)?.[2];
            expect(thirdCrashMs).to.not.equal(undefined);
            return (sentAtMs.get(asked) ?? []).filter(atMs => atMs > thirdCrashMs! + STABLE_WINDOW_MS).length;
        }

        it("are not sent again and again after they have crashed the third", async () => {
            await sendEachSecond(90, BAD);
            expect(lateSends(BAD)).to.be.at.most(MAX_LATE_SENDS);
        });

        it("are not sent again and again if there are several", async () => {
            await sendEachSecond(90, BAD, OTHER_BAD);
            expect(lateSends(BAD)).to.be.at.most(MAX_LATE_SENDS);
            expect(lateSends(OTHER_BAD)).to.be.at.most(MAX_LATE_SENDS);
        });

        it("do not keep similar requests from being served", async () => {
            await sendEachSecond(15, BAD);
            const sound: RecordedResponse[] = [];
            for (let second = 0; second < 20; second++) {
                send(BAD);
                sound.push(send(Buffer.from("other body")), send(BAD, { target: "/other" }));
                await rig.clock.advance(1000);
            }
            expect(sound.map(({ ending }) => ending)).to.deep.equal(sound.map(() => "complete"));
        });

        it("are served again once they crash nothing any more", async () => {
            await sendEachSecond(20, BAD);
            crashing.clear();
            await sendEachSecond(90, BAD);
            const response = send(BAD);
            await rig.clock.advance(1000);
            expect(response.ending).to.equal("complete");
        });
    });
}

import { SeededRandom } from "@fescuehaven/testing";
import type { EngineProfile } from "../../src/model/EngineProfile.js";
import { AdmissionLevel } from "../../src/placement/AdmissionLevel.js";
import { CapacityCorrection } from "../../src/placement/CapacityCorrection.js";
import { DemandTotals } from "../../src/placement/DemandTotals.js";
import { groupCapacity } from "../../src/placement/groupCapacity.js";
import { groupRate } from "../../src/placement/groupRate.js";

/** Requests of one route, all for the played model. */
interface PlayedRoute {
    rank: number;
    perSecond: number;
    targetMs: number;
    promptTokens: number;
    events: number;
    /** Factor on the rate during the burst. */
    burst: number;
}

interface PlayOptions {
    engine: EngineProfile;
    model: string;
    routes: readonly PlayedRoute[];
    groups: number;
    /** Groups that are lost when the burst begins. */
    lostGroups: number;
    gateways: number;
    accounts: number;
    isShared: boolean;
}

/** What some of the requests of the burst got. */
interface PlayResult {
    offered: number;
    onTime: number;
    late: number;
    refused: number;
}

interface PlayedRequest {
    route: PlayedRoute;
    account: number;
    keys: readonly string[];
    arrivedAtMs: number;
    eventsLeft: number;
    hasEvent: boolean;
    isMeasured: boolean;
}

interface PlayedGroup {
    running: PlayedRequest[];
    joining: PlayedRequest[];
    passEndsAtMs: number;
}

const TICK_MS = 5;
const BURST_FROM_MS = 8000;
const BURST_UNTIL_MS = 28_000;
/** The first seconds of the burst, until its figures have reached all gateways, are measured as well. */
const END_MS = 32_000;
/** Time from the end of a second until its figures have reached all gateways. */
const FIGURES_DELAY_MS = 600;
/** The local rule lets a request wait for 0.45 of its time. */
const LOCAL_WAIT_MS = 3600;
const GROUPS_COMPARED = 3;

/** Plays a burst and the loss of groups against one pool, with the local rule or with the shared level. */
export function playAdmission(options: PlayOptions): Map<string, PlayResult> {
    const { engine, routes, gateways, accounts, isShared } = options;
    const model = engine.models.find(({ name }) => name === options.model)!;
    const random = SeededRandom.create(7);
    const results = new Map<string, PlayResult>();
    const shares = Array.from({ length: accounts }, (_, index) => (index + 1) ** -1.2);
    const shareSum = shares.reduce((sum, share) => sum + share, 0);
    let groups: PlayedGroup[] = Array.from(
        { length: options.groups },
        () => ({ running: [], joining: [], passEndsAtMs: 0 }),
    );
    let waiting: PlayedRequest[] = [];
    const seconds: DemandTotals[] = [];
    const correction = CapacityCorrection.create();
    let level = AdmissionLevel.create([], 0);

    function pickAccount(): number {
        let left = random.next() * shareSum;
        return Math.max(0, shares.findIndex(share => (left -= share) < 0));
    }

    function record(request: PlayedRequest, kind: keyof PlayResult): void {
        for (const key of request.isMeasured ? request.keys : ["outside the burst"]) {
            const result = results.get(key) ?? { offered: 0, onTime: 0, late: 0, refused: 0 };
            result[kind] += 1;
            results.set(key, result);
        }
    }

    function count(request: PlayedRequest, kind: "offered" | "admitted" | "refused" | "late", nowMs: number): void {
        const index = Math.floor(nowMs / 1000);
        seconds[index] ??= DemandTotals.create();
        seconds[index].count({ service: "s", model: model.name, zone: "" }, request.route.rank, kind, request.account);
    }

    function refuse(request: PlayedRequest, nowMs: number): void {
        record(request, "refused");
        count(request, "refused", nowMs);
    }

    function tryPlace(request: PlayedRequest, nowMs: number): boolean {
        const free = groups.filter(({ running, joining }) => running.length + joining.length < engine.slots);
        if (free.length === 0) {
            return false;
        }
        const compared = Array.from({ length: GROUPS_COMPARED }, () => free[Math.floor(random.next() * free.length)]!);
        const inFlight = ({ running, joining }: PlayedGroup) => running.length + 3 * joining.length;
        compared.sort((left, right) => inFlight(left) - inFlight(right))[0]!.joining.push(request);
        count(request, "admitted", nowMs);
        return true;
    }

    function endPass(group: PlayedGroup, nowMs: number): void {
        for (const request of group.running) {
            if (!request.hasEvent) {
                request.hasEvent = true;
                const isLate = nowMs > request.arrivedAtMs + request.route.targetMs;
                record(request, isLate ? "late" : "onTime");
                if (isLate) {
                    count(request, "late", nowMs);
                }
            }
            request.eventsLeft -= 1;
        }
        group.running = group.running.filter(({ eventsLeft }) => eventsLeft > 0);
        const prefillMs = group.joining.reduce(
            (sum, { route }) => sum + route.promptTokens / engine.prefillTokensPerMs,
            0,
        );
        group.running.push(...group.joining.splice(0));
        const stepMs = engine.stepMs + group.running.length * engine.stepMsPerRequest;
        group.passEndsAtMs = nowMs + (engine.stepsPerPass * stepMs + prefillMs) * model.timeFactor;
    }

    function updateLevel(nowMs: number): void {
        const demand = (seconds[Math.floor((nowMs - FIGURES_DELAY_MS) / 1000) - 1] ?? DemandTotals.create())
            .ranks("s", model.name);
        const sumOf = (kind: "offered" | "admitted" | "refused" | "late") =>
            demand.reduce((sum, rank) => sum + rank[kind], 0);
        const estimate = groups.length * groupCapacity(engine, model, Math.min(...routes.map(route => route.targetMs)));
        const inFlight = groups.reduce((sum, { running, joining }) => sum + running.length + joining.length, 0);
        correction.update(
            {
                offeredPerSecond: sumOf("offered"),
                admittedPerSecond: sumOf("admitted"),
                refusedPerSecond: sumOf("refused"),
                latePerSecond: sumOf("late"),
                ranks: demand,
                ageMs: FIGURES_DELAY_MS,
                isComplete: true,
            },
            {
                capacityPerSecond: estimate,
                ratePerSecond: groups.length * groupRate(engine, model, inFlight / groups.length),
                usedSlotShare: inFlight / (groups.length * engine.slots),
            },
        );
        level = AdmissionLevel.create(demand, estimate * correction.factor);
    }

    for (let nowMs = 0; nowMs < END_MS; nowMs += TICK_MS) {
        const isBurst = nowMs >= BURST_FROM_MS && nowMs < BURST_UNTIL_MS;
        if (nowMs === BURST_FROM_MS) {
            groups.slice(0, options.lostGroups).forEach(({ running, joining }) =>
                [...running, ...joining].filter(({ hasEvent }) => !hasEvent).forEach(request => record(request, "late"))
            );
            groups = groups.slice(options.lostGroups);
        }
        if (isShared && nowMs % 1000 === FIGURES_DELAY_MS) {
            updateLevel(nowMs);
        }
        groups.filter(({ passEndsAtMs }) => passEndsAtMs <= nowMs).forEach(group => endPass(group, nowMs));
        const stillWaiting = waiting.filter(request => {
            if (tryPlace(request, nowMs)) {
                return false;
            }
            const waitMs = level.isShort ? request.route.targetMs / 2 : LOCAL_WAIT_MS;
            const isOver = nowMs - request.arrivedAtMs > waitMs;
            if (isOver) {
                count(request, "late", nowMs);
                refuse(request, nowMs);
            }
            return !isOver;
        });
        waiting = stillWaiting;
        for (const route of routes) {
            let expected = route.perSecond * (isBurst ? route.burst : 1) * TICK_MS / 1000;
            for (; random.next() < expected; expected -= 1) {
                const account = pickAccount();
                const zone = Math.floor(random.next() * gateways) % 3;
                const request: PlayedRequest = {
                    route,
                    account,
                    keys: ["all", `rank ${route.rank}`, `account ${account}`, `zone ${zone}`],
                    arrivedAtMs: nowMs,
                    eventsLeft: route.events,
                    hasEvent: false,
                    isMeasured: isBurst,
                };
                record(request, "offered");
                count(request, "offered", nowMs);
                if (random.next() >= level.ratioOf(route.rank, account)) {
                    refuse(request, nowMs);
                }
                else if (!tryPlace(request, nowMs)) {
                    waiting.push(request);
                }
            }
        }
    }
    return results;
}

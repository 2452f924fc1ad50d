import type { Clock } from "@fescuehaven/runtime";
import { hash32 } from "../util/hash32.js";
import type { DemandFigures } from "./DemandFigures.js";
import type { DemandOutcome } from "./DemandOutcome.js";
import type { DemandReport } from "./DemandReport.js";
import { DemandTotals } from "./DemandTotals.js";
import type { PoolDemand } from "./PoolDemand.js";

interface FleetDemandOptions {
    clock: Clock;
    /** Zone of this gateway. */
    zone: string;
    /** Number of gateways, including this one, that it reaches directly or through hubs, whatever their build. */
    knownGateways: () => number;
}

interface PeerReport {
    pools: readonly PoolDemand[];
    gateways: number;
    /** Mean end of the seconds in which the requests were counted, on the monotonic clock. */
    measuredAtMs: number;
}

interface Total {
    atMs: number;
    demand: DemandTotals;
    gateways: number;
    /** Sum of `measuredAtMs` over the gateways. */
    measuredAtSumMs: number;
}

/** Requests are counted in intervals of this length, which start at whole seconds of the wall clock. */
const INTERVAL_MS = 1000;
/** Figures that are older do not count: they are replaced every second, and take up to 0.5 s through two hubs. */
const MAX_AGE_MS = 2000;
/** The sum of all reports is computed again after this time, to leave out those that are too old by then. */
const TOTAL_TTL_MS = 100;

/**
 * Demand for each pool (service and model) over the last full second: counted by this gateway and reported by its peers.
 * All gateways count in the same seconds of the wall clock, so that figures need not wait for an interval at each hub. An
 * error of the wall clock makes figures older, and their age says so.
 */
export class FleetDemand {
    private readonly peers = new Map<string, PeerReport>();
    private intervalIndex: number;
    private current = DemandTotals.create();
    private lastReport: readonly PoolDemand[] = [];
    private cachedTotal: Total | undefined;

    private constructor(private readonly options: FleetDemandOptions) {
        this.intervalIndex = this.indexNow();
    }

    /** Creates an instance that has counted nothing. */
    static create(options: FleetDemandOptions): FleetDemand {
        return new FleetDemand(options);
    }

    /** Counts what has become of a request. Only for models that are configured: callers choose the names of others. */
    record({ kind, service, model, rank, account }: DemandOutcome): void {
        this.closeInterval();
        const pool = { service, model, zone: this.options.zone };
        this.current.count(pool, rank, kind, account === undefined ? undefined : hash32(account));
    }

    /** Returns the demand for a model in all zones. */
    poolDemand(service: string, model: string): DemandFigures {
        return this.figures(service, model);
    }

    /** Returns the demand for a model that arrived in a zone. */
    zoneDemand(service: string, model: string, zone: string): DemandFigures {
        return this.figures(service, model, zone);
    }

    /** Number of gateways whose figures are included, this one among them. */
    get reportingGateways(): number {
        return this.total().gateways;
    }

    /** Returns the figures of this gateway and of the peers that `isIncluded` selects. */
    report(isIncluded: (peer: string) => boolean): DemandReport {
        return this.toReport(this.sum(isIncluded));
    }

    /** Returns all figures without those that a peer has reported itself. */
    reportWithout(peer: string): DemandReport {
        const total = this.total();
        const own = this.peers.get(peer);
        if (!own || !this.isFresh(own)) {
            return this.toReport(total);
        }
        total.demand.add(own.pools, -1);
        const report = this.toReport({
            ...total,
            gateways: total.gateways - own.gateways,
            measuredAtSumMs: total.measuredAtSumMs - own.gateways * own.measuredAtMs,
        });
        total.demand.add(own.pools);
        return report;
    }

    /** Replaces the figures of a peer. */
    setPeerReport(peer: string, { pools, gateways, ageMs }: DemandReport): void {
        const measuredAtMs = this.options.clock.monotonicMs() - ageMs;
        this.peers.set(peer, { pools, gateways, measuredAtMs });
        this.cachedTotal = undefined;
    }

    /** Removes the figures of a peer that is disconnected or whose figures arrive through another peer. */
    dropPeer(peer: string): void {
        if (this.peers.delete(peer)) {
            this.cachedTotal = undefined;
        }
    }

    private figures(service: string, model: string, zone?: string): DemandFigures {
        const total = this.total();
        const ranks = total.demand.ranks(service, model, zone);
        const sumOf = (kind: DemandOutcome["kind"]) => ranks.reduce((sum, rank) => sum + rank[kind], 0);
        const perSecond = 1000 / INTERVAL_MS;
        return {
            offeredPerSecond: sumOf("offered") * perSecond,
            admittedPerSecond: sumOf("admitted") * perSecond,
            refusedPerSecond: sumOf("refused") * perSecond,
            latePerSecond: sumOf("late") * perSecond,
            ranks,
            ageMs: this.ageOf(total),
            isComplete: total.gateways >= this.options.knownGateways(),
        };
    }

    private toReport(total: Total): DemandReport {
        // A single gateway sees too few requests to tell whether there is a shortage.
        const pools = total.demand.report(total.gateways > 1);
        return { pools, gateways: total.gateways, ageMs: this.ageOf(total) };
    }

    private ageOf({ gateways, measuredAtSumMs }: Total): number {
        return Math.max(0, this.options.clock.monotonicMs() - measuredAtSumMs / gateways);
    }

    private total(): Total {
        this.closeInterval();
        const nowMs = this.options.clock.monotonicMs();
        if (!this.cachedTotal || nowMs - this.cachedTotal.atMs >= TOTAL_TTL_MS) {
            this.cachedTotal = this.sum(() => true);
        }
        return this.cachedTotal;
    }

    private sum(isIncluded: (peer: string) => boolean): Total {
        this.closeInterval();
        const { clock } = this.options;
        const atMs = clock.monotonicMs();
        const demand = DemandTotals.create();
        demand.add(this.lastReport);
        let gateways = 1;
        let measuredAtSumMs = atMs - (clock.now().getTime() - this.intervalIndex * INTERVAL_MS);
        for (const [peer, report] of this.peers) {
            if (isIncluded(peer) && this.isFresh(report)) {
                demand.add(report.pools);
                gateways += report.gateways;
                measuredAtSumMs += report.gateways * report.measuredAtMs;
            }
        }
        return { atMs, demand, gateways, measuredAtSumMs };
    }

    private isFresh({ measuredAtMs }: PeerReport): boolean {
        return this.options.clock.monotonicMs() - measuredAtMs <= MAX_AGE_MS;
    }

    /** Begins a new interval if the current one is over. The last one had no requests if more than one is over. */
    private closeInterval(): void {
        const index = this.indexNow();
        if (index === this.intervalIndex) {
            return;
        }
        this.lastReport = index === this.intervalIndex + 1 ? this.current.report() : [];
        this.current = DemandTotals.create();
        this.intervalIndex = index;
        this.cachedTotal = undefined;
    }

    private indexNow(): number {
        return Math.floor(this.options.clock.now().getTime() / INTERVAL_MS);
    }
}

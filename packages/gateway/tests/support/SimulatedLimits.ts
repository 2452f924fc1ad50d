import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import type { Service } from "../../src/model/Service.js";
import { AnnouncedLimits } from "../../src/placement/AnnouncedLimits.js";
import { AnnouncedRateLimiter } from "../../src/placement/AnnouncedRateLimiter.js";
import { ColdStartLimiter } from "../../src/placement/ColdStartLimiter.js";
import { RequestedWaits } from "../../src/placement/RequestedWaits.js";
import { UpstreamLimiter } from "../../src/placement/UpstreamLimiter.js";
import type { LimitAnnouncement } from "../../src/ports/LimitAnnouncement.js";
import { exampleUpstream } from "./exampleUpstream.js";
import { mostWithin } from "./mostWithin.js";
import { SilentDecisionLog } from "./SilentDecisionLog.js";

interface SimulatedLimitsOptions {
    gateways: number;
    seed?: number;
    /** Requests per second of all gateways' callers. */
    requestsPerSecond: number;
}

interface Gateway {
    limits: AnnouncedLimits;
    limiter: UpstreamLimiter;
    isCutOff: boolean;
}

const TICK_MS = 5;
/** Longest time that gateways take to learn of each other's state. */
const EXCHANGE_INTERVAL_MS = 400;
const MAX_RESPONSE_MS = 300;
const SERVICE: Service = { name: "app", connectionLimit: 9, coldRequestsPerSecond: 0 };

/** Simulates gateways in front of one upstream that announces limits. */
export class SimulatedLimits {
    readonly clock = ManualClock.create();
    readonly upstream = exampleUpstream("u1", { service: "app" });
    /** When requests arrived at the upstream. */
    readonly arrivalsMs: number[] = [];
    refused = 0;
    private readonly random: SeededRandom;
    private readonly gateways: Gateway[];
    private announcement: LimitAnnouncement | undefined;

    private constructor(private readonly options: SimulatedLimitsOptions) {
        this.random = SeededRandom.create(options.seed ?? 1);
        this.gateways = Array.from({ length: options.gateways }, (_, index) => this.createGateway(index));
    }

    /** Creates gateways that know of no limit. */
    static create(options: SimulatedLimitsOptions): SimulatedLimits {
        return new SimulatedLimits(options);
    }

    /** Sets what the upstream announces from now on; undefined if it announces no limit. */
    announce(value: number | string | undefined): void {
        this.announcement = typeof value === "number"
            ? { kind: "limited", requestsPerSecond: value }
            : value === undefined
            ? undefined
            : { kind: "unreadable", text: value };
    }

    /** Replaces a gateway by one that knows of no limit. */
    restart(index: number): void {
        this.gateways[index] = this.createGateway(index);
    }

    /** Cuts a gateway off from the others, or connects it again. */
    cutOff(index: number, isCutOff: boolean): void {
        this.gateways[index]!.isCutOff = isCutOff;
    }

    /** Sends callers' requests to random gateways. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.monotonicMs() + durationMs;
        while (this.clock.monotonicMs() < endMs) {
            if (this.random.next() < this.options.requestsPerSecond * TICK_MS / 1000) {
                this.request(this.gateways[Math.floor(this.random.next() * this.gateways.length)]!);
            }
            if (Math.round(this.clock.monotonicMs()) % EXCHANGE_INTERVAL_MS < TICK_MS) {
                this.exchange();
            }
            await this.clock.advance(TICK_MS);
        }
    }

    /** Returns the largest number of arrivals since a time in any window of `windowMs`. */
    mostArrivals(sinceMs: number, windowMs: number): number {
        return mostWithin(this.arrivalsMs.filter(atMs => atMs >= sinceMs), windowMs);
    }

    /** Returns the limit that each gateway knows; Infinity if it knows none. */
    knownLimits(): number[] {
        return this.gateways.map(({ limits }) => limits.requestsPerSecond(this.upstream));
    }

    private request({ limits, limiter }: Gateway): void {
        if (!limiter.canSend(this.upstream, SERVICE)) {
            this.refused += 1;
            return;
        }
        limiter.record(this.upstream);
        const sentAtMs = this.clock.monotonicMs();
        this.arrivalsMs.push(sentAtMs);
        const { announcement } = this;
        const responseMs = this.random.next() * MAX_RESPONSE_MS;
        void this.clock.sleep(responseMs).then(() => limits.recordResponse(this.upstream, announcement, sentAtMs));
    }

    private exchange(): void {
        const connected = this.gateways.filter(({ isCutOff }) => !isCutOff);
        const reports = connected.map(({ limits }) => limits.reports());
        connected.forEach(({ limits }) => reports.forEach(report => limits.merge(report)));
        this.gateways.forEach(({ limits }) => limits.sweep());
    }

    private createGateway(index: number): Gateway {
        const { clock, options } = this;
        const limits = AnnouncedLimits.create({
            clock,
            random: this.random,
            log: SilentDecisionLog.create(),
            isRegistered: id => id === this.upstream.id,
        });
        const position = () => ({ index, count: options.gateways });
        const limiter = UpstreamLimiter.create({
            coldStart: ColdStartLimiter.create({ clock, position }),
            announced: AnnouncedRateLimiter.create({ clock, limits, position }),
            waits: RequestedWaits.create({ clock, log: SilentDecisionLog.create() }),
        });
        return { limits, limiter, isCutOff: false };
    }
}

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import {
    type CrashSuspectSchema,
    GatewayService,
    type GatewayUpdate,
    GatewayUpdateSchema,
} from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import type { CrashSuspect } from "../placement/CrashSuspect.js";
import type { DemandReport } from "../placement/DemandReport.js";
import { WakeSignal } from "../util/WakeSignal.js";
import { DemandSchedule } from "./DemandSchedule.js";
import type { PeerState } from "./PeerState.js";
import { UnsentEvidence } from "./UnsentEvidence.js";
import { withoutAges } from "./withoutAges.js";

interface PeerStatePublisherOptions {
    clock: Clock;
    /** Returns the state to send to a peer. */
    snapshot: (observer: string) => PeerState;
    /** Interval between updates to a peer while the state changes. */
    intervalMs: (observer: string) => number;
    /** Returns the demand figures for a peer. Called at most once a second for each. */
    demand: (observer: string) => DemandReport;
    /** Time after the end of each second at which a peer is sent its figures; Infinity for peers that do not use them. */
    demandDelayMs: (observer: string) => number;
}

/** A peer that follows this gateway. */
interface Follower {
    wakeSignal: WakeSignal;
    /** The next update is sent at once, whatever the follower's interval. */
    isUrgent: boolean;
}

/** Interval at which all followers are served: the shortest of the followers' intervals. */
const POLL_INTERVAL_MS = 100;
/** An update is sent up to this much before its interval is over, rather than one poll later. */
const EARLY_SEND_MS = 20;
/** Largest number of tokens that the message has room for. */
const MAX_UINT32 = 2 ** 32 - 1;
/** Longest interval between updates: peers regard a sender as silent after several. */
const HEARTBEAT_MS = 400;

/**
 * Streams this gateway's state to its peers; what was learned from responses only when it is new to the peer. All are
 * served in the same poll, so that the process wakes up once.
 */
export class PeerStatePublisher {
    private readonly followers = new Set<Follower>();
    private readonly wakeSignal = WakeSignal.create();

    private constructor(private readonly options: PeerStatePublisherOptions) {}

    /** Creates the publisher. Followers get their first update at once and further ones while `run` is active. */
    static create(options: PeerStatePublisherOptions): PeerStatePublisher {
        return new PeerStatePublisher(options);
    }

    /** Adds the publisher to a server. */
    registerOn(router: ConnectRouter): void {
        router.service(GatewayService, {
            watchGateway: (request, context: HandlerContext) => this.stream(request.observer, context.signal),
        });
    }

    /** Sends an update without waiting for the next poll. */
    flush(): void {
        this.followers.forEach(follower => {
            follower.isUrgent = true;
            follower.wakeSignal.notify();
        });
    }

    /** Wakes the followers at each poll until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.followers.size === 0) {
                await this.wakeSignal.wait(signal);
            }
            await this.options.clock.sleep(POLL_INTERVAL_MS, signal);
            this.followers.forEach(follower => follower.wakeSignal.notify());
        }
    }

    private async *stream(observer: string, signal: AbortSignal): AsyncGenerator<GatewayUpdate> {
        const { clock, snapshot, intervalMs, demand, demandDelayMs } = this.options;
        const follower: Follower = { wakeSignal: WakeSignal.create(), isUrgent: true };
        this.followers.add(follower);
        this.wakeSignal.notify();
        const unsentEvidence = UnsentEvidence.create();
        const demandSchedule = DemandSchedule.create(clock);
        let sentText = "";
        let sentAtMs = -Infinity;
        try {
            while (!signal.aborted) {
                const nowMs = clock.monotonicMs();
                const sinceMs = nowMs - sentAtMs + EARLY_SEND_MS;
                if (follower.isUrgent || sinceMs >= intervalMs(observer)) {
                    follower.isUrgent = false;
                    const state = snapshot(observer);
                    const update = { ...state, ...unsentEvidence.take(state, nowMs) };
                    // The silence of loads changes all the time.
                    const text = update.loads.length > 0 ? undefined : JSON.stringify(update, withoutAges);
                    const delayMs = demandDelayMs(observer);
                    const report = demandSchedule.isDue(delayMs) ? demand(observer) : undefined;
                    // Figures of a time without requests can wait for the next heartbeat.
                    const isNew = text === undefined || text !== sentText || (report && report.pools.length > 0);
                    if (isNew || sinceMs >= HEARTBEAT_MS) {
                        sentText = text ?? "";
                        sentAtMs = nowMs;
                        if (report) {
                            demandSchedule.recordSent(delayMs);
                        }
                        yield toUpdate({ ...update, ...(report && { demand: report }) });
                    }
                }
                await follower.wakeSignal.wait(signal);
            }
        }
        finally {
            this.followers.delete(follower);
        }
    }
}

function toUpdate(state: PeerState): GatewayUpdate {
    return create(GatewayUpdateSchema, {
        term: state.term,
        openGroups: state.openGroups.map(group => ({ ...group })),
        controllerDistance: state.controllerDistance,
        loads: state.loads.map(([target, load]) => ({
            epoch: Number(target),
            inFlight: load.inFlight,
            unreadTokens: Math.round(load.pendingPrefillTokens),
            silentMs: Math.round(load.silentMs),
            heldTokens: load.heldTokens === undefined ? undefined : Math.min(MAX_UINT32, Math.round(load.heldTokens)),
        })),
        retries: state.retries.map(([service, counts]) => ({ service, ...counts })),
        countedGateways: state.countedGateways,
        lostEpochs: [...state.lostEpochs],
        configurationVersion: state.configurationVersion,
        ...(state.configurationAgeMs !== undefined && { configurationAgeMs: Math.ceil(state.configurationAgeMs) }),
        unreachableServices: [...state.unreachableServices],
        crashSuspects: state.crashEvidence.promptParts.map(toCrashMessage),
        crashingRequests: state.crashEvidence.requests.map(toCrashMessage),
        announcedLimits: state.announcedLimits.map(report => ({
            ...report,
            ageMs: Math.round(report.ageMs),
            requestAgeMs: Math.round(report.requestAgeMs),
        })),
        leavingUpstreams: state.leavingUpstreams.map(report => ({ ...report, ageMs: Math.round(report.ageMs) })),
        ...(state.demand && toDemandFields(state.demand)),
    });
}

function toDemandFields({ pools, gateways, ageMs }: DemandReport): MessageInitShape<typeof GatewayUpdateSchema> {
    const poolDemands = pools.map(pool => ({
        ...pool,
        ranks: pool.ranks.map(rank => ({
            ...rank,
            accounts: rank.accounts.map(([account, offered]) => ({ account, offered })),
        })),
    }));
    return { poolDemands, demandGateways: gateways, demandAgeMs: Math.round(ageMs) };
}

function toCrashMessage(
    { part, pool, crashes, begun, block }: CrashSuspect,
): MessageInitShape<typeof CrashSuspectSchema> {
    return {
        part,
        pool,
        crashes: crashes.map(({ upstream, ageMs }) => ({ upstream, ageMs: Math.round(ageMs) })),
        begun: begun && { id: begun.id, ageMs: Math.round(begun.ageMs) },
        block: block && { ageMs: Math.round(block.ageMs), trials: block.trials },
    };
}

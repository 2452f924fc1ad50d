import { create } from "@bufbuild/protobuf";
import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import { GatewayService, type GatewayUpdate, GatewayUpdateSchema } from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import { WakeSignal } from "../util/WakeSignal.js";
import type { PeerState } from "./PeerState.js";

/** What a `PeerStatePublisher` is made of. */
interface PeerStatePublisherOptions {
    clock: Clock;
    /** What to tell a peer. */
    snapshot: (observer: string) => PeerState;
    /** Pause between two updates to a peer while there is something to tell, ms. */
    pauseMs: (observer: string) => number;
}

/** A peer that follows this gateway. */
interface Follower {
    wakeSignal: WakeSignal;
    /** It is told at once, whatever its pause. */
    isUrgent: boolean;
}

/** Pause between two turns, ms: the shortest of the followers'. */
const TURN_MS = 100;
/** An update is sent this much before its pause is over rather than a turn later, ms. */
const EARLY_MS = 20;
/** Longest pause between two updates, ms: peers count a sender as silent after several. */
const HEARTBEAT_MS = 400;

/** Streams this gateway's state to its peers. All of them are told in one turn, so that the process wakes up once. */
export class PeerStatePublisher {
    /** One for each peer that follows. */
    private readonly followers = new Set<Follower>();
    private readonly wakeSignal = WakeSignal.create();

    private constructor(private readonly options: PeerStatePublisherOptions) {}

    /** Creates the publisher; it goes on after the first update while it runs. */
    static create(options: PeerStatePublisherOptions): PeerStatePublisher {
        return new PeerStatePublisher(options);
    }

    /** Adds the publisher to a server. */
    registerOn(router: ConnectRouter): void {
        router.service(GatewayService, {
            watchGateway: (request, context: HandlerContext) => this.stream(request.observer, context.signal),
        });
    }

    /** Sends an update without waiting for the next turn. */
    flush(): void {
        this.followers.forEach(follower => {
            follower.isUrgent = true;
            follower.wakeSignal.notify();
        });
    }

    /** Takes turns until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.followers.size === 0) {
                await this.wakeSignal.wait(signal);
            }
            await this.options.clock.sleep(TURN_MS, signal);
            this.followers.forEach(follower => follower.wakeSignal.notify());
        }
    }

    private async *stream(observer: string, signal: AbortSignal): AsyncGenerator<GatewayUpdate> {
        const { clock, snapshot, pauseMs } = this.options;
        const follower: Follower = { wakeSignal: WakeSignal.create(), isUrgent: true };
        this.followers.add(follower);
        this.wakeSignal.notify();
        let sent = "";
        let sentAtMs = -Infinity;
        try {
            while (!signal.aborted) {
                const nowMs = clock.monotonicMs();
                const sinceMs = nowMs - sentAtMs + EARLY_MS;
                if (follower.isUrgent || sinceMs >= pauseMs(observer)) {
                    follower.isUrgent = false;
                    const state = snapshot(observer);
                    const text = JSON.stringify(state);
                    if (text !== sent || sinceMs >= HEARTBEAT_MS) {
                        sent = text;
                        sentAtMs = nowMs;
                        yield toUpdate(state);
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
        })),
        retries: state.retries.map(([service, counts]) => ({ service, ...counts })),
        lostEpochs: [...state.lostEpochs],
    });
}

import { create } from "@bufbuild/protobuf";
import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import { GatewayService, type GatewayUpdate, GatewayUpdateSchema } from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import type { PeerState } from "./PeerState.js";

/** What a `PeerFeed` is made of. */
interface PeerFeedOptions {
    clock: Clock;
    /** What to tell a peer. */
    snapshot: (observer: string) => PeerState;
}

/** Pause between two updates while there is something to tell, ms: short against the time of a request. */
const UPDATE_MS = 100;
/** Longest pause between two updates, ms: peers count a sender as silent after several. */
const HEARTBEAT_MS = 400;

/** Streams this gateway's state to its peers. */
export class PeerFeed {
    private readonly urgent = new Set<() => void>();

    private constructor(private readonly options: PeerFeedOptions) {}

    /** Creates the feed. */
    static create(options: PeerFeedOptions): PeerFeed {
        return new PeerFeed(options);
    }

    /** Adds the feed to a server. */
    registerOn(router: ConnectRouter): void {
        router.service(GatewayService, {
            watchGateway: (request, context: HandlerContext) => this.stream(request.observer, context.signal),
        });
    }

    /** Sends an update without waiting for the next turn. */
    flush(): void {
        this.urgent.forEach(wake => wake());
    }

    private async *stream(observer: string, signal: AbortSignal): AsyncGenerator<GatewayUpdate> {
        let sent = "";
        let sentAtMs = -Infinity;
        while (!signal.aborted) {
            const state = this.options.snapshot(observer);
            const text = JSON.stringify(state);
            const nowMs = this.options.clock.monotonicMs();
            if (text !== sent || nowMs - sentAtMs >= HEARTBEAT_MS) {
                sent = text;
                sentAtMs = nowMs;
                yield toUpdate(state);
            }
            await this.pause(signal);
        }
    }

    private async pause(signal: AbortSignal): Promise<void> {
        const woken = new AbortController();
        const wake = () => woken.abort();
        this.urgent.add(wake);
        // A combined signal for each pause would stay registered with the stream's own for as long as that lasts.
        signal.addEventListener("abort", wake, { once: true });
        await this.options.clock.sleep(UPDATE_MS, woken.signal);
        signal.removeEventListener("abort", wake);
        this.urgent.delete(wake);
    }
}

function toUpdate(state: PeerState): GatewayUpdate {
    return create(GatewayUpdateSchema, {
        term: state.term,
        openGroups: state.openGroups.map(group => ({ ...group })),
        controllerDistance: state.controllerDistance,
        configurationVersion: state.configurationVersion,
        loads: state.loads.map(([place, load]) => ({
            epoch: Number(place),
            inFlight: load.inFlight,
            unreadTokens: Math.round(load.unreadTokens),
            silentMs: Math.round(load.silentMs),
        })),
        retries: state.retries.map(([service, counts]) => ({ service, ...counts })),
        lostEpochs: [...state.lostEpochs],
        isLeaving: state.isLeaving,
    });
}

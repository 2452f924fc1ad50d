import type { Clock } from "@fescuehaven/runtime";
import type { TargetLoad } from "./TargetLoad.js";
import type { TrackedRequest } from "./TrackedRequest.js";

/** Load that this process put on one place. */
interface OwnLoad {
    requests: Set<RequestRecord>;
    lastEventMs: number;
}

/** Pauses between events at a place, as seen here. */
interface PauseRecord {
    meanMs: number;
    atMs: number;
}

interface RequestRecord {
    startedMs: number;
    pendingPrefillTokens: number;
    lastEventMs?: number;
    abort: (reason: string) => void;
}

interface PeerLoad {
    load: TargetLoad;
    receivedMs: number;
}

/** A peer's figures count for this long, ms: several of its heartbeats. */
const PEER_LOAD_TTL_MS = 1500;
/** Weight of the newest pause in the mean: some ten events make it up. */
const PAUSE_WEIGHT = 0.1;
/** A place's mean pause is known for this long after its last event, ms. */
const PAUSE_TTL_MS = 2500;

/** Requests in flight at each place (a group's epoch, or an upstream's id), by this process and by its peers. */
export class LoadTracker {
    private readonly own = new Map<string, OwnLoad>();
    private readonly peers = new Map<string, Map<string, PeerLoad>>();
    private readonly pauses = new Map<string, PauseRecord>();

    private constructor(private readonly clock: Clock) {}

    /** Creates an empty tracker. */
    static create(clock: Clock): LoadTracker {
        return new LoadTracker(clock);
    }

    /** Counts a request in. `abort` is called when the place is found lost. */
    trackRequest(target: string, promptTokens: number, abort: (reason: string) => void): TrackedRequest {
        const nowMs = this.clock.monotonicMs();
        const load = this.own.get(target) ?? { requests: new Set(), lastEventMs: nowMs };
        this.own.set(target, load);
        const request: RequestRecord = { startedMs: nowMs, pendingPrefillTokens: promptTokens, abort };
        load.requests.add(request);
        return {
            recordEvent: () => {
                const eventMs = this.clock.monotonicMs();
                if (request.lastEventMs !== undefined) {
                    this.notePause(target, eventMs - request.lastEventMs, eventMs);
                }
                request.lastEventMs = eventMs;
                request.pendingPrefillTokens = 0;
                load.lastEventMs = eventMs;
            },
            end: () => {
                load.requests.delete(request);
                if (load.requests.size === 0) {
                    this.own.delete(target);
                }
            },
        };
    }

    /** Mean pause between two events of a stream at a place lately, ms; undefined: not known here. */
    meanPauseMs(target: string): number | undefined {
        const record = this.pauses.get(target);
        return record && this.clock.monotonicMs() - record.atMs <= PAUSE_TTL_MS ? record.meanMs : undefined;
    }

    private notePause(target: string, pauseMs: number, atMs: number): void {
        const knownMs = this.meanPauseMs(target);
        const meanMs = knownMs === undefined ? pauseMs : knownMs + PAUSE_WEIGHT * (pauseMs - knownMs);
        this.pauses.set(target, { meanMs, atMs });
    }

    /** Ends all own requests at a place that was found lost. */
    abortRequests(target: string, reason: string): number {
        const requests = [...this.own.get(target)?.requests ?? []];
        requests.forEach(request => request.abort(reason));
        return requests.length;
    }

    /** What this process has at a place. */
    ownLoad(target: string): TargetLoad {
        const load = this.own.get(target);
        if (!load) {
            return { inFlight: 0, pendingPrefillTokens: 0, silentMs: 0 };
        }
        let pendingPrefillTokens = 0;
        let oldestMs = Infinity;
        for (const request of load.requests) {
            pendingPrefillTokens += request.pendingPrefillTokens;
            oldestMs = Math.min(oldestMs, request.startedMs);
        }
        const silentMs = this.clock.monotonicMs() - Math.max(load.lastEventMs, oldestMs);
        return { inFlight: load.requests.size, pendingPrefillTokens, silentMs: Math.max(0, silentMs) };
    }

    /** Places with requests of this process and of the peers that `isIncluded` names, and their figures. */
    targets(isIncluded: (peer: string) => boolean): Array<[string, TargetLoad]> {
        const names = new Set(this.own.keys());
        for (const [peer, loads] of this.peers) {
            if (isIncluded(peer)) {
                [...loads.keys()].forEach(target => names.add(target));
            }
        }
        return [...names]
            .map((target): [string, TargetLoad] => [target, this.totalLoad(target, isIncluded)])
            .filter(([, load]) => load.inFlight > 0);
    }

    /**
     * The same places without a peer's part. The silence stays as it is: that of the peer is known to the peer itself.
     */
    withoutPeer(targets: ReadonlyArray<[string, TargetLoad]>, peer: string): Array<[string, TargetLoad]> {
        const known = this.peers.get(peer);
        const nowMs = this.clock.monotonicMs();
        return targets.map(([target, total]): [string, TargetLoad] => {
            const peerLoad = known?.get(target);
            return !peerLoad || nowMs - peerLoad.receivedMs > PEER_LOAD_TTL_MS ? [target, total] : [target, {
                inFlight: Math.max(0, total.inFlight - peerLoad.load.inFlight),
                pendingPrefillTokens: Math.max(0, total.pendingPrefillTokens - peerLoad.load.pendingPrefillTokens),
                silentMs: total.silentMs,
            }];
        }).filter(([, total]) => total.inFlight > 0);
    }

    /** Takes what a peer says of its requests, in full. */
    setPeerLoads(peer: string, loads: ReadonlyArray<readonly [string, TargetLoad]>): void {
        const receivedMs = this.clock.monotonicMs();
        this.peers.set(peer, new Map(loads.map(([target, load]) => [target, { load, receivedMs }])));
    }

    /** Forgets a peer that is gone. */
    dropPeer(peer: string): void {
        this.peers.delete(peer);
    }

    /** What all processes together have at a place. Silence is the shortest of those with requests there. */
    totalLoad(target: string, isIncluded: (peer: string) => boolean = () => true): TargetLoad {
        const own = this.ownLoad(target);
        const total = { ...own, silentMs: own.inFlight > 0 ? own.silentMs : Infinity };
        const nowMs = this.clock.monotonicMs();
        for (const [peer, loads] of this.peers) {
            const peerLoad = loads.get(target);
            if (
                !peerLoad || !isIncluded(peer) || nowMs - peerLoad.receivedMs > PEER_LOAD_TTL_MS
                || peerLoad.load.inFlight === 0
            ) {
                continue;
            }
            total.inFlight += peerLoad.load.inFlight;
            total.pendingPrefillTokens += peerLoad.load.pendingPrefillTokens;
            total.silentMs = Math.min(total.silentMs, peerLoad.load.silentMs + nowMs - peerLoad.receivedMs);
        }
        return total.inFlight > 0 ? total : { inFlight: 0, pendingPrefillTokens: 0, silentMs: 0 };
    }
}

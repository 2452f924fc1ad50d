import type { Clock } from "@fescuehaven/runtime";
import type { TargetLoad } from "./TargetLoad.js";
import type { TrackedRequest } from "./TrackedRequest.js";

/** Load that this process's requests put on one target. */
interface OwnLoad {
    service: string;
    requests: Set<RequestRecord>;
    lastEventAtMs: number;
}

/** Mean pause between events of a target's streams at this gateway. */
interface PauseRecord {
    meanMs: number;
    atMs: number;
}

interface RequestRecord {
    /** Since when its response is read; Infinity while it is not, because its caller reads slowly. */
    readSinceMs: number;
    pendingPrefillTokens: number;
    lastEventAtMs?: number;
    abort: (reason: string) => void;
}

interface PeerLoad {
    load: TargetLoad;
    receivedAtMs: number;
}

/** A peer's loads are valid for this long: several of its heartbeats. */
const PEER_LOAD_TTL_MS = 1500;
/** Weight of the newest pause in the moving average, which covers about ten events. */
const PAUSE_WEIGHT = 0.1;
/** A target's mean pause is valid for this long after its last event. */
const PAUSE_TTL_MS = 2500;

/** Tracks requests in flight by target (a group's epoch or an upstream's id), of this process and of its peers. */
export class LoadTracker {
    private readonly own = new Map<string, OwnLoad>();
    private readonly peers = new Map<string, Map<string, PeerLoad>>();
    private readonly pauses = new Map<string, PauseRecord>();

    private constructor(private readonly clock: Clock) {}

    /** Creates an empty tracker. */
    static create(clock: Clock): LoadTracker {
        return new LoadTracker(clock);
    }

    /** Adds a request to the load of a service's target. `abort` is called when the target is found lost. */
    trackRequest(
        target: string,
        service: string,
        promptTokens: number,
        abort: (reason: string) => void,
    ): TrackedRequest {
        const nowMs = this.clock.monotonicMs();
        const load = this.own.get(target) ?? { service, requests: new Set(), lastEventAtMs: nowMs };
        this.own.set(target, load);
        const request: RequestRecord = { readSinceMs: nowMs, pendingPrefillTokens: promptTokens, abort };
        load.requests.add(request);
        return {
            recordEvent: () => {
                const eventAtMs = this.clock.monotonicMs();
                if (request.lastEventAtMs !== undefined) {
                    this.recordPause(target, eventAtMs - request.lastEventAtMs, eventAtMs);
                }
                request.lastEventAtMs = eventAtMs;
                request.pendingPrefillTokens = 0;
                load.lastEventAtMs = eventAtMs;
            },
            pause: () => {
                request.readSinceMs = Infinity;
            },
            resume: () => {
                const readSinceMs = this.clock.monotonicMs();
                request.readSinceMs = readSinceMs;
                request.lastEventAtMs = request.lastEventAtMs === undefined ? undefined : readSinceMs;
            },
            end: () => {
                load.requests.delete(request);
                if (load.requests.size === 0) {
                    this.own.delete(target);
                }
            },
        };
    }

    /**
     * Returns the recent mean pause between two events of a stream at a target; undefined if this process knows none.
     */
    meanPauseMs(target: string): number | undefined {
        const record = this.pauses.get(target);
        return record && this.clock.monotonicMs() - record.atMs <= PAUSE_TTL_MS ? record.meanMs : undefined;
    }

    /** Number of targets with a recorded pause. */
    get pauseCount(): number {
        return this.pauses.size;
    }

    private recordPause(target: string, pauseMs: number, atMs: number): void {
        if (!this.pauses.has(target)) {
            this.pauses.forEach((record, other) => atMs - record.atMs > PAUSE_TTL_MS && this.pauses.delete(other));
        }
        const knownMs = this.meanPauseMs(target);
        const meanMs = knownMs === undefined ? pauseMs : knownMs + PAUSE_WEIGHT * (pauseMs - knownMs);
        this.pauses.set(target, { meanMs, atMs });
    }

    /** Returns the number of a service's targets with requests of this process that are read, and the shortest silence. */
    ownSilence(service: string): { targets: number; silentMs: number; } {
        const targets = [...this.own].filter(([, load]) => load.service === service);
        const silences = targets.map(([target]) => this.measureOwnLoad(target).silentMs)
            .filter(silentMs => silentMs < Infinity);
        return { targets: silences.length, silentMs: Math.min(...silences) };
    }

    /** Aborts this process's requests at a target that was found lost, and returns their number. */
    abortRequests(target: string, reason: string): number {
        const requests = [...this.own.get(target)?.requests ?? []];
        requests.forEach(request => request.abort(reason));
        return requests.length;
    }

    /**
     * Returns the load that this process's requests put on a target. A target of whose requests none is read is not silent.
     */
    ownLoad(target: string): TargetLoad {
        const load = this.measureOwnLoad(target);
        return load.silentMs < Infinity ? load : { ...load, silentMs: 0 };
    }

    /** Returns the load of this process's requests, with an infinite silence if none of them is read. */
    private measureOwnLoad(target: string): TargetLoad {
        const load = this.own.get(target);
        if (!load) {
            return { inFlight: 0, pendingPrefillTokens: 0, silentMs: Infinity };
        }
        let pendingPrefillTokens = 0;
        let readSinceMs = Infinity;
        for (const request of load.requests) {
            pendingPrefillTokens += request.pendingPrefillTokens;
            readSinceMs = Math.min(readSinceMs, request.readSinceMs);
        }
        const silentMs = readSinceMs === Infinity
            ? Infinity
            : this.clock.monotonicMs() - Math.max(load.lastEventAtMs, readSinceMs);
        return { inFlight: load.requests.size, pendingPrefillTokens, silentMs };
    }

    /** Returns the targets with requests of this process or of the peers that `isIncluded` selects, and their loads. */
    targetLoads(isIncluded: (peer: string) => boolean): Array<[string, TargetLoad]> {
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
     * Subtracts a peer's share from the loads. The silence stays unchanged: the peer measures its own silence itself.
     */
    withoutPeer(targets: ReadonlyArray<[string, TargetLoad]>, peer: string): Array<[string, TargetLoad]> {
        const known = this.peers.get(peer);
        const nowMs = this.clock.monotonicMs();
        return targets.map(([target, total]): [string, TargetLoad] => {
            const peerLoad = known?.get(target);
            return !peerLoad || nowMs - peerLoad.receivedAtMs > PEER_LOAD_TTL_MS ? [target, total] : [target, {
                inFlight: Math.max(0, total.inFlight - peerLoad.load.inFlight),
                pendingPrefillTokens: Math.max(0, total.pendingPrefillTokens - peerLoad.load.pendingPrefillTokens),
                silentMs: total.silentMs,
            }];
        }).filter(([, total]) => total.inFlight > 0);
    }

    /** Replaces the loads that a peer has reported. */
    setPeerLoads(peer: string, loads: ReadonlyArray<readonly [string, TargetLoad]>): void {
        const receivedAtMs = this.clock.monotonicMs();
        this.peers.set(peer, new Map(loads.map(([target, load]) => [target, { load, receivedAtMs }])));
    }

    /** Removes the loads of a disconnected peer. */
    dropPeer(peer: string): void {
        this.peers.delete(peer);
    }

    /**
     * Returns the load that all processes put on a target. The silence is the shortest among those with requests there.
     */
    totalLoad(target: string, isIncluded: (peer: string) => boolean = () => true): TargetLoad {
        const total = this.measureOwnLoad(target);
        const nowMs = this.clock.monotonicMs();
        for (const [peer, loads] of this.peers) {
            const peerLoad = loads.get(target);
            if (
                !peerLoad || !isIncluded(peer) || nowMs - peerLoad.receivedAtMs > PEER_LOAD_TTL_MS
                || peerLoad.load.inFlight === 0
            ) {
                continue;
            }
            total.inFlight += peerLoad.load.inFlight;
            total.pendingPrefillTokens += peerLoad.load.pendingPrefillTokens;
            total.silentMs = Math.min(total.silentMs, peerLoad.load.silentMs + nowMs - peerLoad.receivedAtMs);
        }
        return total.silentMs < Infinity ? total : { ...total, silentMs: 0 };
    }
}

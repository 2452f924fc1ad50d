import type { Clock } from "@fescuehaven/runtime";
import { peakTokens } from "./peakTokens.js";
import type { RequestTokens } from "./RequestTokens.js";
import type { TargetLoad } from "./TargetLoad.js";
import type { TrackedRequest } from "./TrackedRequest.js";

/** Load that this process's requests put on one target. */
interface OwnLoad {
    service: string;
    requests: Set<RequestRecord>;
    lastEventAtMs: number;
    /** Sum of what each request is expected to hold at its end. */
    finalTokens: number;
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
    /** Undefined if its tokens do not count towards the target's memory. */
    tokens?: RequestTokens;
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

    /**
     * Adds a request to the load of a service's target. `abort` is called when the target is found lost. `tokens` count
     * towards the target's memory.
     */
    trackRequest(
        target: string,
        service: string,
        promptTokens: number,
        abort: (reason: string) => void,
        tokens?: RequestTokens,
    ): TrackedRequest {
        const nowMs = this.clock.monotonicMs();
        const load = this.own.get(target) ?? { service, requests: new Set(), lastEventAtMs: nowMs, finalTokens: 0 };
        this.own.set(target, load);
        const request: RequestRecord = { readSinceMs: nowMs, pendingPrefillTokens: promptTokens, abort };
        if (tokens) {
            request.tokens = { ...tokens };
            load.finalTokens += finalTokensOf(tokens);
        }
        load.requests.add(request);
        return {
            recordEvent: (events = 1) => {
                const eventAtMs = this.clock.monotonicMs();
                if (request.lastEventAtMs !== undefined) {
                    this.recordPause(target, eventAtMs - request.lastEventAtMs, eventAtMs);
                }
                request.lastEventAtMs = eventAtMs;
                request.pendingPrefillTokens = 0;
                load.lastEventAtMs = eventAtMs;
                if (request.tokens) {
                    load.finalTokens += recordOutput(request.tokens, events);
                }
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
                if (load.requests.delete(request) && request.tokens) {
                    load.finalTokens -= finalTokensOf(request.tokens);
                }
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
        const total: TargetLoad = { inFlight: load.requests.size, pendingPrefillTokens, silentMs };
        if (load.finalTokens > 0) {
            total.heldTokens = load.finalTokens;
        }
        return total;
    }

    /**
     * Returns the most tokens that the requests of all processes at a target and a further one are expected to hold at the
     * same time. Of peers, only what each request holds at its end is known.
     */
    peakTokensWith(target: string, added: RequestTokens): number {
        const own = this.own.get(target);
        const peersTokens = (this.totalLoad(target).heldTokens ?? 0) - (own?.finalTokens ?? 0);
        const requests = [added];
        own?.requests.forEach(({ tokens }) => tokens && requests.push(tokens));
        return peersTokens + peakTokens(requests.map(tokens => ({
            heldTokens: tokens.promptTokens + tokens.outputTokens,
            remainingTokens: Math.max(0, tokens.answerTokens - tokens.outputTokens),
        })));
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
                ...(total.heldTokens !== undefined && {
                    heldTokens: Math.max(
                        0,
                        total.heldTokens
                            - (peerLoad.load.heldTokens ?? total.heldTokens * peerLoad.load.inFlight / total.inFlight),
                    ),
                }),
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
        let requestsWithTokens = total.heldTokens === undefined ? 0 : total.inFlight;
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
            if (peerLoad.load.heldTokens !== undefined) {
                total.heldTokens = (total.heldTokens ?? 0) + peerLoad.load.heldTokens;
                requestsWithTokens += peerLoad.load.inFlight;
            }
        }
        if (total.heldTokens !== undefined && requestsWithTokens < total.inFlight) {
            // Peers of older builds report no tokens: the mean of the known requests is assumed for theirs.
            total.heldTokens *= total.inFlight / requestsWithTokens;
        }
        return total.silentMs < Infinity ? total : { ...total, silentMs: 0 };
    }
}

/** Returns the tokens that a request is expected to hold at its end. */
function finalTokensOf({ promptTokens, outputTokens, answerTokens }: RequestTokens): number {
    return promptTokens + Math.max(outputTokens, answerTokens);
}

/**
 * Adds events to a request's output and returns by how much its expected tokens at the end grow. A response that exceeds
 * its estimate is expected to become twice as long as it is: the longer responses are, the further they exceed estimates.
 */
function recordOutput(tokens: RequestTokens, events: number): number {
    const before = finalTokensOf(tokens);
    tokens.outputTokens += events * tokens.tokensPerEvent;
    if (tokens.outputTokens > tokens.answerTokens) {
        tokens.answerTokens = Math.min(tokens.maxAnswerTokens, 2 * tokens.outputTokens);
    }
    return finalTokensOf(tokens) - before;
}

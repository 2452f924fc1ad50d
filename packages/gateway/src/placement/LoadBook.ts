import type { Clock } from "@fescuehaven/runtime";
import type { LoadFigures } from "./LoadFigures.js";
import type { OpenCall } from "./OpenCall.js";

/** Load that this process put on one place. */
interface OwnLoad {
    calls: Set<TrackedCall>;
    lastEventMs: number;
}

/** Pauses between events at a place, as seen here. */
interface PauseRecord {
    meanMs: number;
    atMs: number;
}

interface TrackedCall {
    startedMs: number;
    unreadTokens: number;
    lastEventMs?: number;
    abandon: (reason: string) => void;
}

interface PeerLoad {
    figures: LoadFigures;
    receivedMs: number;
}

/** A peer's figures count for this long, ms: several of its heartbeats. */
const PEER_LOAD_TTL_MS = 1500;
/** Weight of the newest pause in the mean: some ten events make it up. */
const PAUSE_WEIGHT = 0.1;
/** A place's mean pause is known for this long after its last event, ms. */
const PAUSE_TTL_MS = 2500;

/** Requests in flight at each place (a group's epoch, or an upstream's id), by this process and by its peers. */
export class LoadBook {
    private readonly own = new Map<string, OwnLoad>();
    private readonly peers = new Map<string, Map<string, PeerLoad>>();
    private readonly pauses = new Map<string, PauseRecord>();

    private constructor(private readonly clock: Clock) {}

    /** Creates an empty book. */
    static create(clock: Clock): LoadBook {
        return new LoadBook(clock);
    }

    /** Counts a request in. `abandon` is called when the place is found lost. */
    open(place: string, promptTokens: number, abandon: (reason: string) => void): OpenCall {
        const nowMs = this.clock.monotonicMs();
        const load = this.own.get(place) ?? { calls: new Set(), lastEventMs: nowMs };
        this.own.set(place, load);
        const call: TrackedCall = { startedMs: nowMs, unreadTokens: promptTokens, abandon };
        load.calls.add(call);
        return {
            noteEvent: () => {
                const eventMs = this.clock.monotonicMs();
                if (call.lastEventMs !== undefined) {
                    this.notePause(place, eventMs - call.lastEventMs, eventMs);
                }
                call.lastEventMs = eventMs;
                call.unreadTokens = 0;
                load.lastEventMs = eventMs;
            },
            end: () => {
                load.calls.delete(call);
                if (load.calls.size === 0) {
                    this.own.delete(place);
                }
            },
        };
    }

    /** Mean pause between two events of a stream at a place lately, ms; undefined: not known here. */
    meanPauseMs(place: string): number | undefined {
        const record = this.pauses.get(place);
        return record && this.clock.monotonicMs() - record.atMs <= PAUSE_TTL_MS ? record.meanMs : undefined;
    }

    private notePause(place: string, pauseMs: number, atMs: number): void {
        const knownMs = this.meanPauseMs(place);
        const meanMs = knownMs === undefined ? pauseMs : knownMs + PAUSE_WEIGHT * (pauseMs - knownMs);
        this.pauses.set(place, { meanMs, atMs });
    }

    /** Ends all own requests at a place that was found lost. */
    abandon(place: string, reason: string): number {
        const calls = [...this.own.get(place)?.calls ?? []];
        calls.forEach(call => call.abandon(reason));
        return calls.length;
    }

    /** What this process has at a place. */
    ownFigures(place: string): LoadFigures {
        const load = this.own.get(place);
        if (!load) {
            return { inFlight: 0, unreadTokens: 0, silentMs: 0 };
        }
        let unreadTokens = 0;
        let oldestMs = Infinity;
        for (const call of load.calls) {
            unreadTokens += call.unreadTokens;
            oldestMs = Math.min(oldestMs, call.startedMs);
        }
        const silentMs = this.clock.monotonicMs() - Math.max(load.lastEventMs, oldestMs);
        return { inFlight: load.calls.size, unreadTokens, silentMs: Math.max(0, silentMs) };
    }

    /** Places with requests of this process and of the peers that `isIncluded` names, and their figures. */
    places(isIncluded: (peer: string) => boolean): Array<[string, LoadFigures]> {
        const names = new Set(this.own.keys());
        for (const [peer, loads] of this.peers) {
            if (isIncluded(peer)) {
                [...loads.keys()].forEach(place => names.add(place));
            }
        }
        return [...names]
            .map((place): [string, LoadFigures] => [place, this.figures(place, isIncluded)])
            .filter(([, figures]) => figures.inFlight > 0);
    }

    /**
     * The same places without a peer's part. The silence stays as it is: that of the peer is known to the peer itself.
     */
    withoutPeer(places: ReadonlyArray<[string, LoadFigures]>, peer: string): Array<[string, LoadFigures]> {
        const known = this.peers.get(peer);
        const nowMs = this.clock.monotonicMs();
        return places.map(([place, figures]): [string, LoadFigures] => {
            const load = known?.get(place);
            return !load || nowMs - load.receivedMs > PEER_LOAD_TTL_MS ? [place, figures] : [place, {
                inFlight: Math.max(0, figures.inFlight - load.figures.inFlight),
                unreadTokens: Math.max(0, figures.unreadTokens - load.figures.unreadTokens),
                silentMs: figures.silentMs,
            }];
        }).filter(([, figures]) => figures.inFlight > 0);
    }

    /** Takes what a peer says of its requests, in full. */
    putPeer(peer: string, loads: ReadonlyArray<readonly [string, LoadFigures]>): void {
        const receivedMs = this.clock.monotonicMs();
        this.peers.set(peer, new Map(loads.map(([place, figures]) => [place, { figures, receivedMs }])));
    }

    /** Forgets a peer that is gone. */
    dropPeer(peer: string): void {
        this.peers.delete(peer);
    }

    /** What all processes together have at a place. Silence is the shortest of those with requests there. */
    figures(place: string, isIncluded: (peer: string) => boolean = () => true): LoadFigures {
        const own = this.ownFigures(place);
        const total = { ...own, silentMs: own.inFlight > 0 ? own.silentMs : Infinity };
        const nowMs = this.clock.monotonicMs();
        for (const [peer, loads] of this.peers) {
            const load = loads.get(place);
            if (
                !load || !isIncluded(peer) || nowMs - load.receivedMs > PEER_LOAD_TTL_MS || load.figures.inFlight === 0
            ) {
                continue;
            }
            total.inFlight += load.figures.inFlight;
            total.unreadTokens += load.figures.unreadTokens;
            total.silentMs = Math.min(total.silentMs, load.figures.silentMs + nowMs - load.receivedMs);
        }
        return total.inFlight > 0 ? total : { inFlight: 0, unreadTokens: 0, silentMs: 0 };
    }
}

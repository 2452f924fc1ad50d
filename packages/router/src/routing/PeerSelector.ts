import type { Peer, PeerView } from "@fescuehaven/coordination";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { MaintenanceState } from "./MaintenanceState.js";
import type { PeerSlot } from "./PeerSlot.js";

interface PeerSelectorOptions {
    peers: PeerView;
    maintenance: MaintenanceState;
    clock: Clock;
    random: Random;
    zone: string;
    /** Most calls in progress at one peer. */
    maxCallsPerPeer: number;
}

/** Chooses the peer router to which a call is forwarded that this router cannot serve itself. */
export class PeerSelector {
    private readonly inFlight = new Map<string, number>();
    private readonly pausedUntilMs = new Map<string, number>();

    private constructor(private readonly options: PeerSelectorOptions) {}

    /** Creates a selector. */
    static create(options: PeerSelectorOptions): PeerSelector {
        return new PeerSelector(options);
    }

    /** Acquires a slot at the least loaded eligible router of the zones; undefined when there is none. */
    tryAcquire(pool: string, zones: ReadonlySet<string>): PeerSlot | undefined {
        const eligible = this.options.peers.list().filter(peer => zones.has(peer.zone) && this.isEligible(pool, peer));
        const chosen = this.leastLoaded(eligible);
        return chosen && this.acquire(pool, chosen);
    }

    /** Returns true when `tryAcquire` would find a router. */
    hasEligible(pool: string, zones: ReadonlySet<string>): boolean {
        return this.options.peers.list().some(peer => zones.has(peer.zone) && this.isEligible(pool, peer));
    }

    private isEligible(pool: string, peer: Peer): boolean {
        return peer.role === "router"
            && !this.options.maintenance.isZoneOutOfService(peer.zone)
            && this.inFlightAt(peer) < this.options.maxCallsPerPeer
            && this.options.clock.monotonicMs() >= (this.pausedUntilMs.get(`${pool} ${peer.name}`) ?? -Infinity);
    }

    private leastLoaded(peers: readonly Peer[]): Peer | undefined {
        const least = Math.min(...peers.map(peer => this.inFlightAt(peer)));
        const best = peers.filter(peer => this.inFlightAt(peer) === least);
        return best[Math.floor(this.options.random.next() * best.length)];
    }

    private acquire(pool: string, peer: Peer): PeerSlot {
        this.inFlight.set(peer.name, this.inFlightAt(peer) + 1);
        let isHeld = true;
        return {
            kind: "peer",
            peer,
            release: pauseMs => {
                if (isHeld) {
                    isHeld = false;
                    this.release(pool, peer, pauseMs);
                }
            },
        };
    }

    private release(pool: string, peer: Peer, pauseMs: number | undefined): void {
        const remaining = this.inFlightAt(peer) - 1;
        if (remaining > 0) {
            this.inFlight.set(peer.name, remaining);
        }
        else {
            this.inFlight.delete(peer.name);
        }
        const key = `${pool} ${peer.name}`;
        if (pauseMs === undefined) {
            this.pausedUntilMs.delete(key);
        }
        else {
            this.pausedUntilMs.set(key, this.options.clock.monotonicMs() + pauseMs);
        }
    }

    private inFlightAt(peer: Peer): number {
        return this.inFlight.get(peer.name) ?? 0;
    }
}

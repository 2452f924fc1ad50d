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
    /** Calls in progress at once at one peer. */
    maxCallsPerPeer: number;
}

/** Chooses the router that serves a call which the own availability zone cannot. */
export class PeerSelector {
    private readonly inFlight = new Map<string, number>();
    private readonly pausedUntilMs = new Map<string, number>();

    private constructor(private readonly options: PeerSelectorOptions) {}

    /** Creates a selector. */
    static create(options: PeerSelectorOptions): PeerSelector {
        return new PeerSelector(options);
    }

    /** Takes the least used router among those of the zones; undefined when none can be asked now. */
    tryAcquire(pool: string, zones: ReadonlySet<string>): PeerSlot | undefined {
        const eligible = this.options.peers.list().filter(peer => zones.has(peer.zone) && this.isEligible(pool, peer));
        const chosen = this.leastUsed(eligible);
        return chosen && this.take(pool, chosen);
    }

    /** True when `place` would find a router. */
    hasEligible(pool: string, zones: ReadonlySet<string>): boolean {
        return this.options.peers.list().some(peer => zones.has(peer.zone) && this.isEligible(pool, peer));
    }

    private isEligible(pool: string, peer: Peer): boolean {
        return peer.role === "router"
            && !this.options.maintenance.isZoneOut(peer.zone)
            && this.countAt(peer) < this.options.maxCallsPerPeer
            && this.options.clock.monotonicMs() >= (this.pausedUntilMs.get(`${pool} ${peer.name}`) ?? -Infinity);
    }

    private leastUsed(peers: readonly Peer[]): Peer | undefined {
        const least = Math.min(...peers.map(peer => this.countAt(peer)));
        const best = peers.filter(peer => this.countAt(peer) === least);
        return best[Math.floor(this.options.random.next() * best.length)];
    }

    private take(pool: string, peer: Peer): PeerSlot {
        this.inFlight.set(peer.name, this.countAt(peer) + 1);
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
        const rest = this.countAt(peer) - 1;
        if (rest > 0) {
            this.inFlight.set(peer.name, rest);
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

    private countAt(peer: Peer): number {
        return this.inFlight.get(peer.name) ?? 0;
    }
}

import type { Clock, Random } from "@fescuehaven/runtime";
import type { Peer } from "./Peer.js";
import type { PeerView } from "./ports/PeerView.js";
import { hash32 } from "./util/hash32.js";

/** A partner that failed over a new connection too is skipped for this long. */
const AVOID_MS = 3000;
/** Consecutive failures, each over a separate connection, after which a partner is skipped. */
const FAILURES_TO_AVOID = 2;

/** Ways to choose a partner. */
type PartnerChoice = "zone-successor" | "successor" | "random";

interface Failure {
    count: number;
    lastAtMs: number;
}

interface ExchangePartnersOptions {
    /** Name of this process. */
    process: string;
    zone: string;
    peers: PeerView;
    clock: Clock;
    random: Random;
}

/**
 * Chooses the few peers that a process exchanges digests with: its successors on the ring of its zone and on the ring
 * of the system, which reach every process, and a random peer, which makes replication fast. A process's position on a
 * ring is the hash of its name, so that neighbours on the system's ring are in different zones.
 */
export class ExchangePartners {
    private readonly failures = new Map<string, Failure>();

    private constructor(private readonly options: ExchangePartnersOptions) {}

    /** Creates an instance without recorded failures. */
    static create(options: ExchangePartnersOptions): ExchangePartners {
        return new ExchangePartners(options);
    }

    /** Returns a partner, or undefined if every candidate failed recently. */
    choose(choice: PartnerChoice): Peer | undefined {
        return this.choices[choice](this.candidates());
    }

    /**
     * Records the failure of an exchange that started at `startedAtMs`. Returns true if the peer's connection has to be
     * replaced, false if it has been replaced since the start.
     */
    recordFailure(peer: Peer, startedAtMs: number): boolean {
        const known = this.failures.get(peer.name);
        if (known && startedAtMs < known.lastAtMs) {
            return false;
        }
        this.failures.set(peer.name, {
            count: (known?.count ?? 0) + 1,
            lastAtMs: this.options.clock.monotonicMs(),
        });
        return true;
    }

    /** Records that a peer responded. */
    recordSuccess(peer: Peer): void {
        this.failures.delete(peer.name);
    }

    private readonly choices: Record<PartnerChoice, (candidates: readonly Peer[]) => Peer | undefined> = {
        "zone-successor": candidates => this.successor(candidates.filter(peer => peer.zone === this.options.zone)),
        successor: candidates => this.successor(candidates),
        random: candidates => candidates[Math.floor(this.options.random.next() * candidates.length)],
    };

    private candidates(): Peer[] {
        return this.options.peers.list().filter(peer => !this.isAvoided(peer));
    }

    private isAvoided(peer: Peer): boolean {
        const failure = this.failures.get(peer.name);
        return failure !== undefined
            && failure.count >= FAILURES_TO_AVOID
            && this.options.clock.monotonicMs() < failure.lastAtMs + AVOID_MS;
    }

    /** Returns the next peer on the ring, which wraps around at its end. */
    private successor(candidates: readonly Peer[]): Peer | undefined {
        const own = hash32(this.options.process);
        const distance = (peer: Peer) => (hash32(peer.name) - own) >>> 0;
        return candidates.reduce<Peer | undefined>(
            (best, peer) => best && distance(best) <= distance(peer) ? best : peer,
            undefined,
        );
    }
}

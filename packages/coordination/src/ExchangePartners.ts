import type { Clock, Random } from "@fescuehaven/runtime";
import type { Peer } from "./Peer.js";
import type { PeerView } from "./ports/PeerView.js";

/** A partner that did not answer is passed over for this long, ms. */
const AVOID_MS = 3000;

/** Ways to choose a partner. */
type PartnerChoice = "zone-successor" | "successor" | "random";

/** Options of `ExchangePartners`. */
interface ExchangePartnersOptions {
    /** Name of this process. */
    process: string;
    zone: string;
    peers: PeerView;
    clock: Clock;
    random: Random;
}

/**
 * Chooses the few peers that a process exchanges digests with: the next by name in its zone and in the system, which
 * together reach every process, and a random one, which makes the spread fast.
 */
export class ExchangePartners {
    private readonly avoidedUntilMs = new Map<string, number>();

    private constructor(private readonly options: ExchangePartnersOptions) {}

    /** Creates the choice. */
    static create(options: ExchangePartnersOptions): ExchangePartners {
        return new ExchangePartners(options);
    }

    /** A partner, or undefined when every candidate failed lately. */
    choose(choice: PartnerChoice): Peer | undefined {
        return this.choices[choice](this.candidates());
    }

    /** Passes over a peer for some time. */
    avoid(peer: Peer): void {
        this.avoidedUntilMs.set(peer.name, this.options.clock.monotonicMs() + AVOID_MS);
    }

    private readonly choices: Record<PartnerChoice, (candidates: readonly Peer[]) => Peer | undefined> = {
        "zone-successor": candidates => this.successor(candidates.filter(peer => peer.zone === this.options.zone)),
        successor: candidates => this.successor(candidates),
        random: candidates => candidates[Math.floor(this.options.random.next() * candidates.length)],
    };

    private candidates(): Peer[] {
        const nowMs = this.options.clock.monotonicMs();
        return this.options.peers.list().filter(peer => (this.avoidedUntilMs.get(peer.name) ?? 0) <= nowMs);
    }

    /** The next peer by name, past the end the first. */
    private successor(sorted: readonly Peer[]): Peer | undefined {
        return sorted.find(peer => peer.name > this.options.process) ?? sorted[0];
    }
}

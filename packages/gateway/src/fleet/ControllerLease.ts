import type { ObjectStore, Revision, StoredObject } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import { z } from "zod";
import type { DecisionLog } from "../ports/DecisionLog.js";

/** What a `ControllerLease` is made of. */
interface ControllerLeaseOptions {
    clock: Clock;
    log: DecisionLog;
    store: ObjectStore;
    /** Name of this VM. */
    vm: string;
    /** Names this run of the process: a restarted one does not hold what the one before it held. */
    incarnation: string;
    /** Time since the peer was last heard, ms; Infinity: never. */
    peerSilenceMs: (vm: string) => number;
    /** Place of this VM among those in touch, 0 first; later ones wait longer before they take over. */
    candidateRank: () => number;
    /** True if peers are in touch and none of them hears the holder either. */
    isHeardByNobody: () => boolean;
    /** True while most registered peers are in touch. */
    hearsMostPeers: () => boolean;
}

const leaseSchema = z.object({
    /** VM and run of the process that holds it; an empty VM: nobody. */
    vm: z.string(),
    incarnation: z.string(),
    term: z.int().nonnegative(),
    /** Grows with every renewal, so that each one changes the object. */
    renewals: z.int().nonnegative(),
});

/** Kind and name of the lease object. */
const LEASE_KEY = { kind: "fescue_controllers", name: "fleet" } as const;
/** Pause between two looks at the lease, ms. */
const TICK_MS = 100;
/** Time between renewals, ms: each one is an event for all gateways. */
const RENEW_MS = 2500;
/** A holder that is silent here and whose renewals are older counts as gone, ms, whatever others hear. */
const EXPIRE_MS = 5500;
/** A holder that speaks to its peers is alive, ms since its last word. */
const PEER_WORD_MS = 1200;
/** Added to the wait per place among the candidates, ms: a few round trips to the store. */
const RANK_STEP_MS = 120;
/** Wait before the first lease of all is taken, ms: gateways that start together have heard of each other by then. */
const FIRST_WAIT_MS = 500;
/** A gap between two looks that is longer means that the process stood still, ms. */
const PAUSE_MS = 700;
/** Actions need a renewal that is not older, ms, while the store answers. */
const ACT_MS = 6000;

/**
 * Decides which gateway acts as the fleet's controller: the holder of a lease object that changes hands by conditional
 * update only. Its term numbers every claim; nothing unsafe follows if two gateways act for a while, because upstreams
 * accept an order only in the state in which the sender last saw them.
 */
export class ControllerLease {
    private lease: z.infer<typeof leaseSchema> | undefined;
    private revision: Revision = 0;
    private isKnown = false;
    private changedAtMs: number;
    private renewedAtMs = -Infinity;
    private highestTerm = 0;
    private lastTickMs: number;
    private mustRenew = false;

    private constructor(private readonly options: ControllerLeaseOptions) {
        this.changedAtMs = options.clock.monotonicMs();
        this.lastTickMs = this.changedAtMs;
    }

    /** Creates the lease's keeper. */
    static create(options: ControllerLeaseOptions): ControllerLease {
        return new ControllerLease(options);
    }

    /** Kind of object under which the lease is kept. */
    static readonly kind = LEASE_KEY.kind;

    /** Highest term known here. */
    get term(): number {
        return this.highestTerm;
    }

    /** True while this gateway acts as the controller. */
    get isController(): boolean {
        const isHolder = this.isOwn && this.lease?.term === this.highestTerm;
        if (!isHolder || this.mustRenew) {
            return false;
        }
        const isFresh = this.options.clock.monotonicMs() - this.renewedAtMs < ACT_MS;
        return isFresh || this.options.hearsMostPeers();
    }

    /** True if the holder is heard, or is this gateway. */
    get hearsHolder(): boolean {
        return this.isOwn || (this.lease !== undefined && this.options.peerSilenceMs(this.lease.vm) <= PEER_WORD_MS);
    }

    /** Takes the lease object as the store holds it. */
    observe(object: StoredObject): void {
        const isNews = object.revision > this.revision;
        if (object.kind !== LEASE_KEY.kind || object.name !== LEASE_KEY.name || !isNews) {
            return;
        }
        const parsed = leaseSchema.safeParse(object.value);
        if (!parsed.success) {
            this.options.log.warn("lease object unreadable", { revision: object.revision });
            return;
        }
        if (this.lease?.incarnation !== parsed.data.incarnation || this.lease.term !== parsed.data.term) {
            this.options.log.info("controller changed", {
                holder: parsed.data.vm,
                term: parsed.data.term,
                revision: object.revision,
            });
        }
        this.isKnown = true;
        this.lease = parsed.data;
        this.revision = object.revision;
        this.highestTerm = Math.max(this.highestTerm, parsed.data.term);
        this.changedAtMs = this.options.clock.monotonicMs();
    }

    /** The store was listed: without an object there is no lease yet. */
    noteListed(): void {
        this.isKnown = true;
    }

    /** Takes a term that a peer knows; a higher one ends this gateway's own. */
    observeTerm(term: number): void {
        if (term > this.highestTerm) {
            this.highestTerm = term;
        }
    }

    /** Renews or takes the lease until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, log } = this.options;
        while (!signal.aborted) {
            const nowMs = clock.monotonicMs();
            if (nowMs - this.lastTickMs > PAUSE_MS) {
                log.warn("process stood still", { pausedMs: Math.round(nowMs - this.lastTickMs) });
                this.mustRenew = this.isOwn;
                this.changedAtMs = Math.max(this.changedAtMs, nowMs - EXPIRE_MS / 2);
            }
            this.lastTickMs = nowMs;
            if (this.isKnown) {
                await this.step(nowMs);
                // The call to the store may have waited long; that is no pause of the process.
                this.lastTickMs = clock.monotonicMs();
            }
            await clock.sleep(TICK_MS, signal);
        }
    }

    /** Gives the lease up, so that another gateway takes it at once. */
    async release(): Promise<void> {
        if (this.lease && this.isOwn) {
            await this.write({ vm: "", incarnation: "", term: this.lease.term, renewals: this.lease.renewals + 1 });
        }
    }

    private get isOwn(): boolean {
        return this.lease?.incarnation === this.options.incarnation;
    }

    private async step(nowMs: number): Promise<void> {
        const { vm, incarnation } = this.options;
        if (this.lease && this.isOwn && this.lease.term === this.highestTerm) {
            if (this.mustRenew || nowMs - this.renewedAtMs >= RENEW_MS) {
                await this.write({ ...this.lease, renewals: this.lease.renewals + 1 });
            }
            return;
        }
        if (this.hasExpired(nowMs)) {
            await this.write({ vm, incarnation, term: this.highestTerm + 1, renewals: 0 });
        }
    }

    private hasExpired(nowMs: number): boolean {
        if (!this.lease) {
            return this.isTurn(nowMs, FIRST_WAIT_MS);
        }
        if (this.lease.vm === "") {
            return this.isTurn(nowMs, 0);
        }
        if (this.lease.vm === this.options.vm && !this.isOwn) {
            // Held by an earlier run of this process, which is gone for certain.
            return true;
        }
        if (this.hearsHolder) {
            return false;
        }
        // A change of the lease within the last moments is a holder that peers are yet to hear.
        const graceMs = this.options.isHeardByNobody() ? PEER_WORD_MS : EXPIRE_MS;
        return this.isTurn(nowMs, graceMs);
    }

    /** True if the lease has not changed for `waitMs`, and for longer the more candidates come before this gateway. */
    private isTurn(nowMs: number, waitMs: number): boolean {
        const sinceMs = nowMs - this.changedAtMs;
        return sinceMs >= waitMs && sinceMs >= waitMs + this.options.candidateRank() * RANK_STEP_MS;
    }

    private async write(lease: z.infer<typeof leaseSchema>): Promise<void> {
        const { store, clock, log } = this.options;
        const outcome = await store.write(LEASE_KEY, lease, this.revision, "claim");
        if (outcome.kind === "committed") {
            this.observe({ ...LEASE_KEY, revision: outcome.revision, value: lease });
            this.renewedAtMs = clock.monotonicMs();
            this.mustRenew = false;
            return;
        }
        log.info("lease not written", { outcome: outcome.kind, term: lease.term, renewals: lease.renewals });
        if (outcome.kind === "conflict" || outcome.kind === "unknown") {
            const current = await store.read(LEASE_KEY, "claim");
            if (current.kind === "found") {
                this.observe(current.object);
                const own = leaseSchema.safeParse(current.object.value);
                if (
                    own.success && own.data.incarnation === this.options.incarnation
                    && own.data.renewals === lease.renewals
                ) {
                    this.renewedAtMs = clock.monotonicMs();
                    this.mustRenew = false;
                }
            }
        }
    }
}

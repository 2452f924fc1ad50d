import type { Era, ObjectStore, Revision, StoredObject, UpdateOutcome } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import { z } from "zod";
import type { CrashReport } from "../placement/CrashReport.js";
import { crashSuspectSchema } from "../placement/CrashSuspect.js";
import type { DecisionLog } from "../ports/DecisionLog.js";

interface ControllerLeaseOptions {
    clock: Clock;
    log: DecisionLog;
    store: ObjectStore;
    /** Name of this VM. */
    vm: string;
    /** Identifies this run of the process: a restarted process does not hold the lease of the previous run. */
    incarnation: string;
    /** Returns the time since something was last received from the peer; Infinity if nothing was ever received. */
    peerSilenceMs: (vm: string) => number;
    /** Returns the rank of this VM among the connected gateways. Rank 0 takes over first; higher ranks wait longer. */
    candidateRank: () => number;
    /** Returns true while this gateway could not give orders: then it releases the lease and does not acquire it. */
    isUnfit: () => boolean;
    /** Returns true if peers are connected and none of them receives anything from the holder either. */
    isHolderUnreachableByPeers: () => boolean;
    /** Returns true while most registered peers are connected. */
    isConnectedToMostPeers: () => boolean;
    /** Returns what is blocked because upstreams crash under it; the lease object keeps it while all gateways restart. */
    blockedSuspects: () => CrashReport;
    /** Called with what a lease object from the store has as blocked. */
    onBlockedSuspects: (blocked: CrashReport) => void;
    /** Returns the highest term in which a registered upstream has joined its group. */
    highestUpstreamTerm: () => number;
}

const leaseSchema = z.object({
    /** VM that holds the lease; `incarnation` identifies the run of its process. Both are empty after a release. */
    vm: z.string(),
    incarnation: z.string(),
    term: z.int().nonnegative(),
    /** Incremented by every renewal, so that each renewal changes the object. */
    renewals: z.int().nonnegative(),
    /** Era of the revision that the write expected. */
    era: z.int().nonnegative().default(0),
    blockedPrompts: z.array(crashSuspectSchema).default([]),
    blockedRequests: z.array(crashSuspectSchema).default([]),
});

/** The fields that decide who holds the lease. */
type LeaseClaim = Omit<z.infer<typeof leaseSchema>, "era" | "blockedPrompts" | "blockedRequests">;

const LEASE_KEY = { kind: "fescue_controllers", name: "fleet" } as const;
const POLL_INTERVAL_MS = 100;
/**
 * Longest pause between two updates while the store does not carry them out: every call is billed, also refused ones.
 * Several fit in before the lease counts as expired.
 */
const MAX_RETRY_PAUSE_MS = 800;
/** Time between renewals; not shorter, because every renewal is an event for all gateways. */
const RENEWAL_INTERVAL_MS = 2500;
/**
 * A holder that is silent towards this gateway and whose last renewal is older has lost the lease, whatever peers
 * receive.
 */
const EXPIRY_MS = 5500;
/** The holder counts as reachable if something was received from it within this time. */
const HOLDER_REACHABLE_MS = 1200;
/** Additional wait per candidate rank; a few round trips to the store. */
const RANK_DELAY_MS = 120;
/** Wait before the very first lease is acquired; gateways that start together have discovered each other by then. */
const FIRST_LEASE_DELAY_MS = 500;
/** A longer gap between two polls means that the process was paused. */
const PROCESS_PAUSE_MS = 700;
/** Maximum age of the last renewal for acting as the controller, unless most peers are connected. */
const RENEWAL_VALIDITY_MS = 6000;

/**
 * Decides which gateway acts as the fleet's controller: the holder of a lease object, which is acquired by conditional
 * updates only. Every acquisition increments the term. It is safe if two gateways act as the controller for a while,
 * because an upstream accepts an order only in the state in which the sender last saw it.
 */
export class ControllerLease {
    private lease: z.infer<typeof leaseSchema> | undefined;
    /** Revision and era of the object in the store; the revision is 0 if there is none. */
    private revision: Revision = 0;
    private era: Era = 0;
    private isStoreStateKnown = false;
    private changedAtMs: number;
    private renewedAtMs = -Infinity;
    private highestTerm = 0;
    private lastPollAtMs: number;
    /** Consecutive updates that the store has not carried out, as far as known. */
    private failedUpdates = 0;
    /** When the next update may be sent, monotonic. */
    private mayUpdateFromMs = -Infinity;
    private mustRenew = false;
    /** The store lacks this gateway's lease or has an older state of it. */
    private mustRestore = false;
    /** This process shuts down: it releases the lease and never acquires it again. */
    private hasResigned = false;
    /** The last update of the lease, after which the next one starts. */
    private update: Promise<void> = Promise.resolve();

    private constructor(private readonly options: ControllerLeaseOptions) {
        this.changedAtMs = options.clock.monotonicMs();
        this.lastPollAtMs = this.changedAtMs;
    }

    /** Creates a lease that is neither held nor polled until `run` is called. */
    static create(options: ControllerLeaseOptions): ControllerLease {
        return new ControllerLease(options);
    }

    /** Kind of the lease object in the store. */
    static readonly kind = LEASE_KEY.kind;

    /** Highest term that this gateway knows of. */
    get term(): number {
        return this.highestTerm;
    }

    /** True while this gateway acts as the controller. */
    get isController(): boolean {
        const isHolder = this.isOwn && this.lease?.term === this.highestTerm;
        if (!isHolder || this.mustRenew || this.options.highestUpstreamTerm() > this.highestTerm) {
            return false;
        }
        const isFresh = this.options.clock.monotonicMs() - this.renewedAtMs < RENEWAL_VALIDITY_MS;
        return isFresh || this.options.isConnectedToMostPeers();
    }

    /** True if this gateway is the holder, or has recently received something from the holder. */
    get isHolderReachable(): boolean {
        return this.isOwn
            || (this.lease !== undefined && this.options.peerSilenceMs(this.lease.vm) <= HOLDER_REACHABLE_MS);
    }

    /** Applies a lease object read from the store in an era. Other objects and older states are ignored. */
    observe(object: StoredObject, era: Era = 0): void {
        const isNewer = era === this.era ? object.revision > this.revision : era > this.era;
        if (object.kind !== LEASE_KEY.kind || object.name !== LEASE_KEY.name || !isNewer) {
            return;
        }
        const parsed = leaseSchema.safeParse(object.value);
        if (!parsed.success) {
            this.options.log.warn("invalid lease object", { revision: object.revision });
            return;
        }
        const isRestored = era > this.era;
        this.era = era;
        this.revision = object.revision;
        if (isRestored && this.supersedes(parsed.data)) {
            this.mustRestore = true;
            return;
        }
        if (this.lease?.incarnation !== parsed.data.incarnation || this.lease.term !== parsed.data.term) {
            this.options.log.info("controller changed", {
                holder: parsed.data.vm,
                term: parsed.data.term,
                revision: object.revision,
            });
        }
        if (this.isCommittedUnaware(parsed.data)) {
            // The acquisition replaced a lease that this gateway had not read and that may be of the same term.
            this.observeTerm(parsed.data.term + 1);
        }
        this.isStoreStateKnown = true;
        this.lease = parsed.data;
        this.mustRestore = false;
        this.highestTerm = Math.max(this.highestTerm, parsed.data.term);
        this.changedAtMs = this.options.clock.monotonicMs();
        const { blockedPrompts, blockedRequests } = parsed.data;
        this.options.onBlockedSuspects({ promptParts: blockedPrompts, requests: blockedRequests });
    }

    /** Records that the store was listed. If no lease object of the era was observed by then, none exists. */
    recordListing(era: Era = 0): void {
        this.isStoreStateKnown = true;
        if (era > this.era) {
            this.observeAbsence(era);
        }
    }

    /** Records that the store has no lease object. */
    private observeAbsence(era: Era): void {
        this.era = era;
        this.revision = 0;
        if (this.isOwn) {
            this.mustRestore = true;
        }
        else {
            this.lease = undefined;
            this.changedAtMs = this.options.clock.monotonicMs();
        }
    }

    /** Returns true if this gateway holds the lease in a newer term than an object from an older copy of the store. */
    private supersedes({ term, incarnation }: z.infer<typeof leaseSchema>): boolean {
        const isHolder = this.isOwn && this.lease?.term === this.highestTerm;
        return isHolder && (term < this.highestTerm || incarnation === this.options.incarnation);
    }

    /** Returns true for an acquisition by this gateway that was committed in another era than it knew of. */
    private isCommittedUnaware({ incarnation, term, era }: z.infer<typeof leaseSchema>): boolean {
        const isHeld = this.isOwn && this.lease?.term === term;
        return incarnation === this.options.incarnation && era !== this.era && !isHeld;
    }

    /** Applies a term that a peer knows. A higher term ends the term of this gateway. */
    observeTerm(term: number): void {
        if (term > this.highestTerm) {
            if (this.isOwn && this.lease?.term === this.highestTerm) {
                // The holder of the newer term gets time to write its lease.
                this.changedAtMs = this.options.clock.monotonicMs();
            }
            this.highestTerm = term;
        }
    }

    /** Renews or acquires the lease until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, log } = this.options;
        while (!signal.aborted) {
            const nowMs = clock.monotonicMs();
            if (nowMs - this.lastPollAtMs > PROCESS_PAUSE_MS) {
                log.warn("process was paused", { pausedMs: Math.round(nowMs - this.lastPollAtMs) });
                this.mustRenew = this.isOwn;
                this.changedAtMs = Math.max(this.changedAtMs, nowMs - EXPIRY_MS / 2);
            }
            this.lastPollAtMs = nowMs;
            this.observeTerm(this.options.highestUpstreamTerm());
            if (this.isStoreStateKnown) {
                await this.startUpdate(() => this.renewOrAcquire(nowMs));
                // A slow call to the store is not a pause of the process.
                this.lastPollAtMs = clock.monotonicMs();
            }
            await clock.sleep(POLL_INTERVAL_MS, signal);
        }
    }

    /**
     * Releases the lease if this gateway holds it, so that another gateway can acquire it at once. This process does not
     * acquire it again. While the store is unavailable, `run` repeats the release and this gateway stays the controller.
     */
    async release(): Promise<void> {
        this.hasResigned = true;
        await this.startUpdate(() => this.writeRelease());
    }

    /** Starts an update when the last one has ended: two at the same revision would conflict. */
    private startUpdate(update: () => Promise<void>): Promise<void> {
        this.update = this.update.then(update);
        return this.update;
    }

    private async writeRelease(): Promise<void> {
        if (this.lease && this.isOwn) {
            await this.write({ vm: "", incarnation: "", term: this.lease.term, renewals: this.lease.renewals + 1 });
        }
    }

    private get isOwn(): boolean {
        return this.lease?.incarnation === this.options.incarnation;
    }

    private async renewOrAcquire(nowMs: number): Promise<void> {
        const { vm, incarnation } = this.options;
        if (nowMs < this.mayUpdateFromMs) {
            return;
        }
        if (this.hasResigned || this.options.isUnfit()) {
            await this.writeRelease();
            return;
        }
        if (this.lease && this.isOwn && this.lease.term === this.highestTerm) {
            if (this.mustRenew || this.mustRestore || nowMs - this.renewedAtMs >= RENEWAL_INTERVAL_MS) {
                await this.write({ ...this.lease, renewals: this.lease.renewals + 1 });
            }
            return;
        }
        if (this.hasExpired(nowMs)) {
            const term = Math.max(this.highestTerm, this.options.highestUpstreamTerm()) + 1;
            await this.write({ vm, incarnation, term, renewals: 0 });
        }
    }

    private hasExpired(nowMs: number): boolean {
        if (!this.lease) {
            return this.mayAcquire(nowMs, FIRST_LEASE_DELAY_MS);
        }
        if (this.lease.vm === "") {
            return this.mayAcquire(nowMs, 0);
        }
        if (this.lease.vm === this.options.vm && !this.isOwn) {
            // The holder is an earlier run of this process, which has certainly ended.
            return true;
        }
        if (this.isOwn) {
            // A newer term exists, but its lease is not in the store; its holder writes it again soon.
            return this.mayAcquire(nowMs, HOLDER_REACHABLE_MS);
        }
        if (this.isHolderReachable) {
            return false;
        }
        // If the lease has changed recently, peers may not have received anything from the new holder yet.
        const graceMs = this.options.isHolderUnreachableByPeers() ? HOLDER_REACHABLE_MS : EXPIRY_MS;
        return this.mayAcquire(nowMs, graceMs);
    }

    /**
     * Returns true if the lease has not changed for `waitMs` plus a delay that grows with this gateway's candidate
     * rank.
     */
    private mayAcquire(nowMs: number, waitMs: number): boolean {
        const sinceMs = nowMs - this.changedAtMs;
        return sinceMs >= waitMs && sinceMs >= waitMs + this.options.candidateRank() * RANK_DELAY_MS;
    }

    /** Doubles the pause before the next update if the store has not responded or has carried out nothing. */
    private recordUpdate(outcome: UpdateOutcome["kind"]): void {
        const hasFailed = outcome === "unavailable" || outcome === "unknown";
        this.failedUpdates = hasFailed ? this.failedUpdates + 1 : 0;
        const pauseMs = Math.min(MAX_RETRY_PAUSE_MS, POLL_INTERVAL_MS * 2 ** (this.failedUpdates - 1));
        this.mayUpdateFromMs = hasFailed ? this.options.clock.monotonicMs() + pauseMs : -Infinity;
    }

    private async write(claim: LeaseClaim): Promise<void> {
        const { store, clock, log, blockedSuspects } = this.options;
        const { promptParts, requests } = blockedSuspects();
        const lease = { ...claim, era: this.era, blockedPrompts: promptParts, blockedRequests: requests };
        const outcome = await store.write(LEASE_KEY, lease, this.revision, "claim", this.era);
        this.recordUpdate(outcome.kind);
        if (outcome.kind === "committed") {
            this.observe({ ...LEASE_KEY, revision: outcome.revision, value: lease }, outcome.era);
            this.renewedAtMs = clock.monotonicMs();
            this.mustRenew = false;
            return;
        }
        log.info("lease update was not written", { outcome: outcome.kind, term: lease.term, renewals: lease.renewals });
        if (outcome.kind === "conflict" || outcome.kind === "unknown") {
            const current = await store.read(LEASE_KEY, "claim");
            if (current.kind === "absent") {
                this.observeAbsence(current.era ?? 0);
            }
            if (current.kind === "found") {
                this.observe(current.object, current.era);
                const parsed = leaseSchema.safeParse(current.object.value);
                if (
                    parsed.success && parsed.data.incarnation === this.options.incarnation
                    && parsed.data.renewals === lease.renewals
                ) {
                    this.renewedAtMs = clock.monotonicMs();
                    this.mustRenew = false;
                }
            }
        }
    }
}

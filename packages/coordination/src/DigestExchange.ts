import { type ConfigurationObject, ConfigurationService, type ExchangeDigestResponse } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { ConfigurationState } from "./ConfigurationState.js";
import type { DigestEntry } from "./DigestEntry.js";
import { DigestMessages } from "./DigestMessages.js";
import { ExchangePartners } from "./ExchangePartners.js";
import type { Peer } from "./Peer.js";
import type { PeerClients } from "./ports/PeerClients.js";
import type { PeerView } from "./ports/PeerView.js";
import { withDeadline } from "./util/withDeadline.js";

/** Interval between exchanges of one task while nothing changes; the three tasks together make one every 500 ms. */
const IDLE_INTERVAL_MS = 1500;
/** Wait after a partner failed. */
const RETRY_MS = 100;
/** Longest wait for one response. */
const CALL_TIMEOUT_MS = 1000;
/** Maximum number of changes announced at once; more are left to the comparison of buckets. */
const MAX_ANNOUNCED = 50;
/** Digests that keep differing, for example after a refusal, are compared again after this long. */
const RECOMPARE_AFTER_MS = 30_000;
/** Ways to choose a partner; one task runs for each. */
const PARTNER_CHOICES = ["zone-successor", "successor", "random"] as const;

interface DigestExchangeOptions {
    process: string;
    zone: string;
    state: ConfigurationState;
    peers: PeerView;
    clients: PeerClients;
    clock: Clock;
    random: Random;
}

interface DigestRequest {
    held?: readonly DigestEntry[];
    buckets?: readonly number[];
    pushed?: ConfigurationObject[];
}

/** Compares digests with a few peers, immediately after an adoption, and exchanges the objects that differ. */
export class DigestExchange {
    private readonly partners: ExchangePartners;
    private readonly messages: DigestMessages;
    private readonly unchangedComparisons = new Map<string, { digests: string; untilMs: number; }>();

    private constructor(private readonly options: DigestExchangeOptions) {
        this.partners = ExchangePartners.create(options);
        this.messages = DigestMessages.create(options.state);
    }

    /** Creates the exchange; it makes no calls until `run`. */
    static create(options: DigestExchangeOptions): DigestExchange {
        return new DigestExchange(options);
    }

    /** Exchanges until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all(PARTNER_CHOICES.map(choice => this.exchange(choice, signal)));
    }

    private async exchange(choice: (typeof PARTNER_CHOICES)[number], signal: AbortSignal): Promise<void> {
        const { clock, random, state } = this.options;
        let announcedVersion = state.version;
        while (!signal.aborted) {
            const version = state.version;
            const peer = this.partners.choose(choice);
            const done = peer !== undefined && await this.tryExchange(peer, announcedVersion, signal);
            if (done) {
                announcedVersion = version;
            }
            if (peer && !done) {
                await clock.sleep(RETRY_MS, signal);
            }
            else if (!peer || state.version === announcedVersion) {
                await this.waitForChange(IDLE_INTERVAL_MS * (0.9 + 0.2 * random.next()), signal);
            }
        }
    }

    private async tryExchange(peer: Peer, announcedVersion: number, signal: AbortSignal): Promise<boolean> {
        const startedAtMs = this.options.clock.monotonicMs();
        const done = await this.exchangeWith(peer, announcedVersion, signal);
        if (done) {
            this.partners.recordSuccess(peer);
        }
        else if (!signal.aborted && this.partners.recordFailure(peer, startedAtMs)) {
            this.options.clients.abandon(peer);
        }
        return done;
    }

    private async waitForChange(waitMs: number, signal: AbortSignal): Promise<void> {
        const finished = new AbortController();
        const either = AbortSignal.any([signal, finished.signal]);
        await Promise.race([this.options.state.changes.next(either), this.options.clock.sleep(waitMs, either)]);
        finished.abort();
    }

    /**
     * Announces what was adopted since `announcedVersion`, or compares everything. Returns false if the peer failed.
     */
    private async exchangeWith(peer: Peer, announcedVersion: number, signal: AbortSignal): Promise<boolean> {
        const announced = this.options.state.digestSince(announcedVersion);
        return announced.length > 0 && announced.length <= MAX_ANNOUNCED
            ? this.announce(peer, announced, signal)
            : this.reconcile(peer, signal);
    }

    private async announce(peer: Peer, announced: readonly DigestEntry[], signal: AbortSignal): Promise<boolean> {
        const response = await this.call(peer, { held: announced }, signal);
        return response !== undefined && this.push(peer, response, signal);
    }

    private async reconcile(peer: Peer, signal: AbortSignal): Promise<boolean> {
        const { state } = this.options;
        const summary = await this.call(peer, {}, signal);
        if (!summary) {
            return false;
        }
        if (summary.rootHash === state.hash.root()) {
            this.applyRemovals(summary, []);
            return true;
        }
        if (this.wasComparedUnchanged(peer, summary.rootHash)) {
            return true;
        }
        const version = state.version;
        const detail = await this.compareBuckets(peer, state.hash.differing(summary.bucketHashes), signal);
        if (!detail) {
            return false;
        }
        this.applyRemovals(summary, detail.wanted.filter(entry => entry.revision === 0n));
        const pushed = await this.push(peer, detail, signal);
        if (pushed && state.version === version) {
            this.recordUnchanged(peer, summary.rootHash);
        }
        return pushed;
    }

    /** Adopts the peer's newer objects in the buckets, over as many responses as needed. Returns the last response. */
    private async compareBuckets(
        peer: Peer,
        buckets: readonly number[],
        signal: AbortSignal,
    ): Promise<ExchangeDigestResponse | undefined> {
        for (;;) {
            const held = this.options.state.digestOf(new Set(buckets));
            const version = this.options.state.version;
            const detail = await this.call(peer, { buckets, held }, signal);
            if (!detail?.partial) {
                return detail;
            }
            if (this.options.state.version === version) {
                return undefined;
            }
        }
    }

    /** Returns true if the same two digests were compared recently with nothing to adopt, as after a refusal. */
    private wasComparedUnchanged(peer: Peer, theirRoot: bigint): boolean {
        const unchanged = this.unchangedComparisons.get(peer.name);
        const digests = `${theirRoot} ${this.options.state.hash.root()}`;
        return unchanged?.digests === digests && this.options.clock.monotonicMs() < unchanged.untilMs;
    }

    private recordUnchanged(peer: Peer, theirRoot: bigint): void {
        const digests = `${theirRoot} ${this.options.state.hash.root()}`;
        this.unchangedComparisons.set(peer.name, {
            digests,
            untilMs: this.options.clock.monotonicMs() + RECOMPARE_AFTER_MS,
        });
    }

    /**
     * Applies what a complete peer knows about removals. The covered revision is that of the summary: the details
     * came later and contain at least as much.
     */
    private applyRemovals(summary: ExchangeDigestResponse, missing: readonly { kind: string; name: string; }[]): void {
        if (!summary.complete) {
            return;
        }
        const refused = new Set(summary.refused.map(entry => `${entry.kind}/${entry.name}`));
        const absent = new Set(missing.map(entry => `${entry.kind}/${entry.name}`).filter(id => !refused.has(id)));
        for (const { kind, name, revision } of summary.refused) {
            this.options.state.recordRefused({ kind, name, revision: Number(revision), deleted: false });
        }
        this.options.state.applyCompleteState(
            Number(summary.coveredRevision),
            key => !absent.has(`${key.kind}/${key.name}`),
            "peer",
        );
    }

    private async push(peer: Peer, response: ExchangeDigestResponse, signal: AbortSignal): Promise<boolean> {
        let pending = this.messages.objects(response.wanted);
        while (pending.length > 0) {
            const pushed = this.messages.fitting(pending);
            if (!await this.call(peer, { pushed }, signal)) {
                return false;
            }
            pending = pending.slice(pushed.length);
        }
        return true;
    }

    private async call(
        peer: Peer,
        request: DigestRequest,
        signal: AbortSignal,
    ): Promise<ExchangeDigestResponse | undefined> {
        const { clock, clients, process, state } = this.options;
        const message = {
            sender: process,
            rootHash: state.hash.root(),
            held: this.messages.revisions(request.held ?? []),
            buckets: [...request.buckets ?? []],
            pushed: request.pushed ?? [],
        };
        const response = await withDeadline(
            clock,
            CALL_TIMEOUT_MS,
            signal,
            attempt => clients.get(ConfigurationService, peer).exchangeDigest(message, { signal: attempt }),
        );
        this.messages.apply(response?.newer ?? [], `peer ${peer.name}`);
        return response;
    }
}

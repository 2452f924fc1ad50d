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

/** Time between two quiet exchanges of one task, ms; the three tasks make one every 500 ms. */
const QUIET_INTERVAL_MS = 1500;
/** Wait after a partner failed, ms. */
const RETRY_MS = 100;
/** Longest wait for one answer, ms. */
const CALL_TIMEOUT_MS = 1000;
/** More changes than this at once are left to the comparison by buckets. */
const MAX_ANNOUNCED = 50;
/** Digests that differ for good, as after a refusal, are compared again after this long, ms. */
const SETTLED_MS = 30_000;
/** How partners are chosen, a task for each. */
const CHOICES = ["zone-successor", "successor", "random"] as const;

/** Options of `DigestExchange`. */
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

/** Compares digests with a few peers, at once when something was adopted, and takes and gives what differs. */
export class DigestExchange {
    private readonly partners: ExchangePartners;
    private readonly messages: DigestMessages;
    private readonly settled = new Map<string, { digests: string; untilMs: number; }>();

    private constructor(private readonly options: DigestExchangeOptions) {
        this.partners = ExchangePartners.create(options);
        this.messages = DigestMessages.create(options.state);
    }

    /** Creates the exchange; it calls nobody until `run`. */
    static create(options: DigestExchangeOptions): DigestExchange {
        return new DigestExchange(options);
    }

    /** Exchanges until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all(CHOICES.map(choice => this.exchange(choice, signal)));
    }

    private async exchange(choice: (typeof CHOICES)[number], signal: AbortSignal): Promise<void> {
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
                await this.changeOrTimeout(QUIET_INTERVAL_MS * (0.9 + 0.2 * random.next()), signal);
            }
        }
    }

    private async tryExchange(peer: Peer, announcedVersion: number, signal: AbortSignal): Promise<boolean> {
        const startedAtMs = this.options.clock.monotonicMs();
        const done = await this.exchangeWith(peer, announcedVersion, signal);
        if (done) {
            this.partners.succeed(peer);
        }
        else if (!signal.aborted && this.partners.fail(peer, startedAtMs)) {
            this.options.clients.abandon(peer);
        }
        return done;
    }

    private async changeOrTimeout(waitMs: number, signal: AbortSignal): Promise<void> {
        const finished = new AbortController();
        const either = AbortSignal.any([signal, finished.signal]);
        await Promise.race([this.options.state.changes.next(either), this.options.clock.sleep(waitMs, either)]);
        finished.abort();
    }

    /** Announces what was adopted since `announcedVersion`, or compares everything. False: the peer failed. */
    private async exchangeWith(peer: Peer, announcedVersion: number, signal: AbortSignal): Promise<boolean> {
        const announced = this.options.state.digestSince(announcedVersion);
        return announced.length > 0 && announced.length <= MAX_ANNOUNCED
            ? this.announce(peer, announced, signal)
            : this.reconcile(peer, signal);
    }

    private async announce(peer: Peer, announced: readonly DigestEntry[], signal: AbortSignal): Promise<boolean> {
        const answer = await this.call(peer, { held: announced }, signal);
        return answer !== undefined && this.push(peer, answer, signal);
    }

    private async reconcile(peer: Peer, signal: AbortSignal): Promise<boolean> {
        const { state } = this.options;
        const summary = await this.call(peer, {}, signal);
        if (!summary) {
            return false;
        }
        if (summary.rootHash === state.hash.root()) {
            this.cover(summary, []);
            return true;
        }
        if (this.isSettled(peer, summary.rootHash)) {
            return true;
        }
        const version = state.version;
        const detail = await this.compareBuckets(peer, state.hash.differing(summary.bucketHashes), signal);
        if (!detail) {
            return false;
        }
        this.cover(summary, detail.wanted.filter(entry => entry.revision === 0n));
        const pushed = await this.push(peer, detail, signal);
        if (pushed && state.version === version) {
            this.settle(peer, summary.rootHash);
        }
        return pushed;
    }

    /** Takes what the peer holds newer in the buckets, in as many answers as it needs. Yields the last. */
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

    /** True when the same two digests were compared lately without anything to take, as after a refusal. */
    private isSettled(peer: Peer, theirRoot: bigint): boolean {
        const settled = this.settled.get(peer.name);
        const digests = `${theirRoot} ${this.options.state.hash.root()}`;
        return settled?.digests === digests && this.options.clock.monotonicMs() < settled.untilMs;
    }

    private settle(peer: Peer, theirRoot: bigint): void {
        const digests = `${theirRoot} ${this.options.state.hash.root()}`;
        this.settled.set(peer.name, { digests, untilMs: this.options.clock.monotonicMs() + SETTLED_MS });
    }

    /**
     * Takes over what a complete peer knows of removals. The covered revision is that of the summary: the details
     * came later and hold at least as much.
     */
    private cover(summary: ExchangeDigestResponse, lacked: readonly { kind: string; name: string; }[]): void {
        if (!summary.complete) {
            return;
        }
        const refused = new Set(summary.refused.map(entry => `${entry.kind}/${entry.name}`));
        const absent = new Set(lacked.map(entry => `${entry.kind}/${entry.name}`).filter(id => !refused.has(id)));
        for (const { kind, name, revision } of summary.refused) {
            this.options.state.noteRefused({ kind, name, revision: Number(revision), deleted: false });
        }
        this.options.state.cover(
            Number(summary.coveredRevision),
            key => !absent.has(`${key.kind}/${key.name}`),
            "peer",
        );
    }

    private async push(peer: Peer, answer: ExchangeDigestResponse, signal: AbortSignal): Promise<boolean> {
        let pending = this.messages.objects(answer.wanted);
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
        const answer = await withDeadline(
            clock,
            CALL_TIMEOUT_MS,
            signal,
            attempt => clients.get(ConfigurationService, peer).exchangeDigest(message, { signal: attempt }),
        );
        this.messages.take(answer?.newer ?? [], `peer ${peer.name}`);
        return answer;
    }
}

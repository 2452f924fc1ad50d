import type { ConnectRouter } from "@connectrpc/connect";
import type { ObjectStore } from "@fescuehaven/platform";
import { JournalService } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger, Metrics } from "@fescuehaven/telemetry";
import type { PeerClients } from "../ports/PeerClients.js";
import type { PeerView } from "../ports/PeerView.js";
import type { JournalAnswer } from "./JournalAnswer.js";
import type { JournalClaim } from "./JournalClaim.js";
import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import { JournalCleaner } from "./JournalCleaner.js";
import type { JournalFinishOutcome } from "./JournalFinishOutcome.js";
import { JournalMessages } from "./JournalMessages.js";
import type { JournalOperation } from "./JournalOperation.js";
import { JournalPartition } from "./JournalPartition.js";
import type { JournalReleaseOutcome } from "./JournalReleaseOutcome.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";
import { ShardOwners } from "./ShardOwners.js";
import { ShardWriters } from "./ShardWriters.js";

/** When to come back after a refusal that another try may not meet, ms. */
const RETRY_AFTER_MS = 1000;

/** Outcomes of an owner after which a router writes itself. */
const UNSETTLED_KINDS: ReadonlySet<string> = new Set(["unavailable", "unknown"]);

/** Options of `Journal`. */
interface JournalOptions {
    /** Name of this process. */
    process: string;
    settings: JournalSettings;
    store: ObjectStore;
    peers: PeerView;
    clients: PeerClients;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}

/**
 * Records of idempotency keys, for calls that run at most once. A key's record changes only by conditional update of its
 * shard in the platform. The shard's owner writes for all routers, many operations in one update; when it does not
 * answer, a router writes itself. No method rejects.
 */
export class Journal {
    private constructor(
        private readonly options: JournalOptions,
        private readonly partition: JournalPartition,
        private readonly writers: ShardWriters,
        private readonly owners: ShardOwners,
        private readonly cleaner: JournalCleaner,
    ) {}

    /** Creates a journal; it calls nobody until it is asked. */
    static create(options: JournalOptions): Journal {
        const partition = JournalPartition.create(options.settings);
        const owners = ShardOwners.create({ ...options, timeoutMs: options.settings.ownerTimeoutMs });
        const cleaner = JournalCleaner.create({ ...options, partition, owners });
        return new Journal(options, partition, ShardWriters.create(options), owners, cleaner);
    }

    /** BeginCall, ReadBack and GiveUp of the specification: claims the key for the attempt. After `signal` aborts, the outcome is `unknown`: release the key. */
    async claim(claim: JournalClaim, signal: AbortSignal): Promise<JournalClaimOutcome> {
        if (!this.isYoung(claim) || signal.aborted) {
            return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        }
        const finished = new AbortController();
        const aborted = new Promise<JournalClaimOutcome>(resolve => {
            const abort = () => resolve({ kind: "unknown" });
            signal.addEventListener("abort", abort, { once: true, signal: finished.signal });
        });
        const outcome = await Promise.race([this.claimAnywhere(claim), aborted]);
        finished.abort();
        // Records may have been removed since the age was first looked at.
        if (outcome.kind === "claimed" && !this.isYoung(claim)) {
            void this.release(claim);
            return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        }
        return outcome;
    }

    /** FinishKey of the specification: records the whole answer of a key that the attempt claimed. */
    async finish(claim: JournalClaim, answer: JournalAnswer): Promise<JournalFinishOutcome> {
        const { shard, keyHash } = this.partition.place(claim);
        const { claimant } = claim;
        const { status, contentType } = answer;
        const message = { shard, keyHash, claimant, status, contentType, body: this.bounded(answer.body) };
        const told = await this.owners.call(shard, (owner, signal) => owner.finishKey(message, { signal }));
        return told.kind === "answered" && JournalMessages.decodeFinish(told.answer).kind === "recorded"
            ? { kind: "recorded" }
            : this.writers.submit<"finish">(shard, { kind: "finish", keyHash, claimant, answer });
    }

    /** ReleaseKey of the specification: frees a key of which nothing ran. Only the attempt that claimed it may, and it claims nothing afterwards. */
    async release(claim: JournalClaim): Promise<JournalReleaseOutcome> {
        const { shard, keyHash } = this.partition.place(claim);
        const { claimant } = claim;
        const message = { shard, keyHash, claimant };
        const told = await this.owners.call(shard, (owner, signal) => owner.releaseKey(message, { signal }));
        return told.kind === "answered" && JournalMessages.decodeRelease(told.answer).kind === "released"
            ? { kind: "released" }
            : this.writers.submit<"release">(shard, { kind: "release", keyHash, claimant });
    }

    /** Removes shards whose retention is over, until `signal` aborts. */
    run(signal: AbortSignal): Promise<void> {
        return this.cleaner.run(signal);
    }

    /** Writes for the other routers. */
    registerOn(router: ConnectRouter): void {
        router.service(JournalService, {
            claimKey: async ({ shard, keyHash, claimant, requestDigest }) =>
                JournalMessages.encodeClaim(
                    await this.writeHere<"claim">(shard, { kind: "claim", keyHash, claimant, requestDigest }),
                ),
            finishKey: ({ shard, keyHash, claimant, status, body, contentType }) => {
                const answer = { status, body, contentType };
                return this.writeHere<"finish">(shard, { kind: "finish", keyHash, claimant, answer });
            },
            releaseKey: ({ shard, keyHash, claimant }) => this.writeHere(shard, { kind: "release", keyHash, claimant }),
        });
    }

    private async claimAnywhere(claim: JournalClaim): Promise<JournalClaimOutcome> {
        const { shard, keyHash } = this.partition.place(claim);
        const { claimant, requestDigest } = claim;
        const message = { shard, keyHash, claimant, requestDigest };
        const told = await this.owners.call(shard, (owner, signal) => owner.claimKey(message, { signal }));
        const asked = told.kind === "answered" ? JournalMessages.decodeClaim(told.answer) : told;
        if (asked.kind !== "silent" && asked.kind !== "not-asked" && !UNSETTLED_KINDS.has(asked.kind)) {
            return asked;
        }
        const outcome = await this.writers.submit<"claim">(shard, { kind: "claim", keyHash, claimant, requestDigest });
        const mayLand = asked.kind === "silent" || asked.kind === "unknown";
        return outcome.kind === "unavailable" && mayLand ? { kind: "unknown" } : outcome;
    }

    private async writeHere<K extends JournalOperation["kind"]>(
        shard: string,
        operation: OperationOf<K>,
    ): Promise<OperationOutcome[K]> {
        return this.partition.isLiveShard(shard, this.options.clock.now())
            ? this.writers.submitForPeer<K>(shard, operation)
            : { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
    }

    /** An answer that is too long to be held does not travel to the owner in full. */
    private bounded(body: Uint8Array): Uint8Array<ArrayBuffer> {
        return new Uint8Array(body.subarray(0, this.options.settings.maxAnswerBytes + 1));
    }

    private isYoung(claim: JournalClaim): boolean {
        return this.partition.isYoung(claim.issuedAt, this.options.clock.now());
    }
}

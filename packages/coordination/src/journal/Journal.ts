import type { ConnectRouter } from "@connectrpc/connect";
import type { ObjectStore } from "@fescuehaven/platform";
import { JournalService } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger, Metrics } from "@fescuehaven/telemetry";
import type { PeerClients } from "../ports/PeerClients.js";
import type { PeerView } from "../ports/PeerView.js";
import type { JournalClaim } from "./JournalClaim.js";
import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import { JournalCleaner } from "./JournalCleaner.js";
import { JournalEras } from "./JournalEras.js";
import type { JournalFinishOutcome } from "./JournalFinishOutcome.js";
import { JournalMessages } from "./JournalMessages.js";
import type { JournalOperation } from "./JournalOperation.js";
import { JournalPartition } from "./JournalPartition.js";
import type { JournalReleaseOutcome } from "./JournalReleaseOutcome.js";
import type { JournalResponse } from "./JournalResponse.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";
import { ShardOwners } from "./ShardOwners.js";
import { ShardWriters } from "./ShardWriters.js";

/** Retry-after delay of refusals after which a retry may succeed. */
const RETRY_AFTER_MS = 1000;

/** Outcomes of an owner after which a router writes the shard itself. */
const FALLBACK_KINDS: ReadonlySet<string> = new Set(["unavailable", "unknown"]);

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
 * Records idempotency keys of calls that run at most once. A key's record changes only by conditional update of its
 * shard in the platform. The shard's owner writes for all routers and combines many operations in one update. If the
 * owner does not respond, a router writes the shard itself. No method rejects.
 */
export class Journal {
    private constructor(
        private readonly options: JournalOptions,
        private readonly partition: JournalPartition,
        private readonly writers: ShardWriters,
        private readonly owners: ShardOwners,
        private readonly cleaner: JournalCleaner,
        private readonly eras: JournalEras,
    ) {}

    /** Creates a journal. It makes no calls before one of its methods is called. */
    static create(options: JournalOptions): Journal {
        const partition = JournalPartition.create(options.settings);
        const owners = ShardOwners.create({ ...options, timeoutMs: options.settings.ownerTimeoutMs });
        const cleaner = JournalCleaner.create({ ...options, partition, owners });
        const eras = JournalEras.create(options);
        return new Journal(options, partition, ShardWriters.create({ ...options, eras }), owners, cleaner, eras);
    }

    /**
     * Claims the key for the attempt. If `signal` aborts, the outcome is `unknown`, and the caller has to release the
     * key. Implements BeginCall, ReadBack and GiveUp of the specification.
     */
    async claim(claim: JournalClaim, signal: AbortSignal): Promise<JournalClaimOutcome> {
        if (!this.isWithinRetention(claim) || signal.aborted) {
            return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        }
        const finished = new AbortController();
        const aborted = new Promise<JournalClaimOutcome>(resolve => {
            const abort = () => resolve({ kind: "unknown" });
            signal.addEventListener("abort", abort, { once: true, signal: finished.signal });
        });
        const outcome = await Promise.race([this.claimWithFallback(claim), aborted]);
        finished.abort();
        // Records may have been removed since the age was first checked.
        if (outcome.kind === "claimed" && !this.isWithinRetention(claim)) {
            void this.release(claim);
            return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        }
        return outcome;
    }

    /** Records the complete response for a key that the attempt claimed. Implements FinishKey of the specification. */
    async finish(claim: JournalClaim, response: JournalResponse): Promise<JournalFinishOutcome> {
        const { shard, keyHash } = this.partition.locate(claim);
        const { claimant } = claim;
        const { status, contentType } = response;
        const message = { shard, keyHash, claimant, status, contentType, body: this.truncate(response.body) };
        const callOutcome = await this.owners.call(shard, (owner, signal) => owner.finishKey(message, { signal }));
        return callOutcome.kind === "answered" && JournalMessages.decodeFinish(callOutcome.response).kind === "recorded"
            ? { kind: "recorded" }
            : this.writers.submit<"finish">(shard, { kind: "finish", keyHash, claimant, response });
    }

    /**
     * Frees a key whose call did not run. Only the attempt that claimed the key may free it, and it must not claim
     * anything afterwards. Implements ReleaseKey of the specification.
     */
    async release(claim: JournalClaim): Promise<JournalReleaseOutcome> {
        const { shard, keyHash } = this.partition.locate(claim);
        const { claimant } = claim;
        const message = { shard, keyHash, claimant };
        const callOutcome = await this.owners.call(shard, (owner, signal) => owner.releaseKey(message, { signal }));
        return callOutcome.kind === "answered"
                && JournalMessages.decodeRelease(callOutcome.response).kind === "released"
            ? { kind: "released" }
            : this.writers.submit<"release">(shard, { kind: "release", keyHash, claimant });
    }

    /** Removes shards whose retention is over, and learns of restores of the store, until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.cleaner.run(signal), this.eras.run(signal)]);
    }

    /** Registers the service through which this process writes shards for other routers. */
    registerOn(router: ConnectRouter): void {
        router.service(JournalService, {
            claimKey: async ({ shard, keyHash, claimant, requestDigest, issuedAtMs }) => {
                const operation = { kind: "claim", keyHash, claimant, requestDigest, issuedAtMs } as const;
                return JournalMessages.encodeClaim(await this.writeForPeer<"claim">(shard, operation));
            },
            finishKey: ({ shard, keyHash, claimant, status, body, contentType }) => {
                const response = { status, body, contentType };
                return this.writeForPeer<"finish">(shard, { kind: "finish", keyHash, claimant, response });
            },
            releaseKey: ({ shard, keyHash, claimant }) =>
                this.writeForPeer(shard, { kind: "release", keyHash, claimant }),
        });
    }

    private async claimWithFallback(claim: JournalClaim): Promise<JournalClaimOutcome> {
        const { shard, keyHash } = this.partition.locate(claim);
        const { claimant, requestDigest } = claim;
        const content = { keyHash, claimant, requestDigest, issuedAtMs: claim.issuedAt.getTime() };
        const message = { shard, ...content };
        const callOutcome = await this.owners.call(shard, (owner, signal) => owner.claimKey(message, { signal }));
        const ownerOutcome = callOutcome.kind === "answered"
            ? JournalMessages.decodeClaim(callOutcome.response)
            : callOutcome;
        if (
            ownerOutcome.kind !== "silent" && ownerOutcome.kind !== "not-called"
            && !FALLBACK_KINDS.has(ownerOutcome.kind)
        ) {
            return ownerOutcome;
        }
        const outcome = await this.writers.submit<"claim">(shard, { kind: "claim", ...content });
        const mayTakeEffect = ownerOutcome.kind === "silent" || ownerOutcome.kind === "unknown";
        return outcome.kind === "unavailable" && mayTakeEffect ? { kind: "unknown" } : outcome;
    }

    private async writeForPeer<K extends JournalOperation["kind"]>(
        shard: string,
        operation: OperationOf<K>,
    ): Promise<OperationOutcome[K]> {
        return this.partition.isLiveShard(shard, this.options.clock.now())
            ? this.writers.submitForPeer<K>(shard, operation)
            : { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
    }

    /** Truncates a body that is too long to be stored, so that it is not sent to the owner in full. */
    private truncate(body: Uint8Array): Uint8Array<ArrayBuffer> {
        return new Uint8Array(body.subarray(0, this.options.settings.maxAnswerBytes + 1));
    }

    private isWithinRetention(claim: JournalClaim): boolean {
        return this.partition.isWithinRetention(claim.issuedAt, this.options.clock.now());
    }
}

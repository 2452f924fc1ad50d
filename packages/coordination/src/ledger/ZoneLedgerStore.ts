import type { ObjectStore, Revision } from "@fescuehaven/platform";
import { type ZoneLedger, zoneLedgerSchema } from "@fescuehaven/resources";
import type { Random } from "@fescuehaven/runtime";
import { findLedgerErrors } from "./findLedgerErrors.js";
import type { LedgerReadOutcome } from "./LedgerReadOutcome.js";
import type { LedgerUpdateOutcome } from "./LedgerUpdateOutcome.js";

/** Attempts to resolve an update whose response was lost before the outcome is `unresolved`. */
const RESOLVE_ATTEMPTS = 3;

interface PendingUpdate {
    value: ZoneLedger;
    expected: Revision;
}

interface ZoneLedgerStoreOptions {
    store: ObjectStore;
    random: Random;
    /** Availability zone; also the name of the ledger object. */
    zone: string;
}

/**
 * Reads and updates the ledger of one availability zone.
 *
 * An update is conditional on the revision last read, so of all updates based on one revision at most one takes
 * effect, however late it arrives. An update whose response was lost is resolved by reading the ledger back. If the
 * ledger has its nonce, it took effect. If the revision is unchanged, the same update is sent again. Any other revision
 * means that it can no longer take effect, and the caller has to decide again from the current ledger.
 *
 * @example
 * const ledgers = ZoneLedgerStore.create({ store, random, zone: "koper-1" });
 * await ledgers.refresh();
 * const draft = LedgerDraft.create(ledgers.current!);
 * draft.form("hulls-a", { modelVersion: "reports-7", fabricDomain: "rack-1", members: ["vm-1", "vm-2"] });
 * const outcome = await ledgers.commit(draft.ledger, leaseFence);
 */
export class ZoneLedgerStore {
    private ledger: ZoneLedger | undefined;
    private ledgerRevision: Revision = 0;
    private pending: PendingUpdate | undefined;

    private constructor(private readonly options: ZoneLedgerStoreOptions) {}

    /** Creates a store without a ledger; `refresh` reads it. */
    static create(options: ZoneLedgerStoreOptions): ZoneLedgerStore {
        return new ZoneLedgerStore(options);
    }

    /** The ledger as last read or committed; undefined before that and while an update is unresolved. */
    get current(): ZoneLedger | undefined {
        return this.pending ? undefined : this.ledger;
    }

    /** Revision of `current`; 0 if the platform holds no ledger yet. */
    get revision(): Revision {
        return this.ledgerRevision;
    }

    /** Reads the ledger after resolving a pending update. */
    async refresh(): Promise<LedgerReadOutcome> {
        if (this.pending) {
            const outcome = await this.resolve(this.pending);
            return outcome.kind === "unresolved" ? { kind: "unavailable", retryAfterMs: 0 } : this.readCurrent();
        }
        return this.readCurrent();
    }

    /**
     * Replaces the ledger with `value` if nobody else has changed it since `current` was read. `leaseFence` is the
     * fencing token of the lease that the caller holds; a ledger written under a higher one is not overwritten.
     */
    async commit(value: ZoneLedger, leaseFence: number): Promise<LedgerUpdateOutcome> {
        if (this.pending || !this.ledger) {
            return { kind: "unresolved" };
        }
        const errors = findLedgerErrors(value);
        if (errors.length > 0) {
            return { kind: "invalid", reason: errors.join("; ") };
        }
        if (this.ledger.leaseFence > leaseFence) {
            return { kind: "superseded" };
        }
        const update = {
            value: { ...value, leaseFence, nonce: this.options.random.uniqueId() },
            expected: this.ledgerRevision,
        };
        return this.send(update);
    }

    private async send(update: PendingUpdate): Promise<LedgerUpdateOutcome> {
        const outcome = await this.options.store.write(this.key(), update.value, update.expected, "claim");
        switch (outcome.kind) {
            case "committed":
                this.setCurrent(update.value, outcome.revision);
                return { kind: "committed" };
            case "conflict":
                return this.handleConflict();
            case "unknown":
                this.pending = update;
                return this.resolve(update);
            case "unavailable":
            case "invalid":
                return outcome;
        }
    }

    private async resolve(update: PendingUpdate): Promise<LedgerUpdateOutcome> {
        for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
            if ((await this.readCurrent()).kind !== "read") {
                return { kind: "unresolved" };
            }
            if (this.ledger?.nonce === update.value.nonce) {
                this.pending = undefined;
                return { kind: "committed" };
            }
            if (this.ledgerRevision !== update.expected) {
                this.pending = undefined;
                return { kind: "superseded" };
            }
            const again = await this.options.store.write(this.key(), update.value, update.expected, "claim");
            if (again.kind === "committed") {
                this.pending = undefined;
                this.setCurrent(update.value, again.revision);
                return { kind: "committed" };
            }
        }
        return { kind: "unresolved" };
    }

    private async handleConflict(): Promise<LedgerUpdateOutcome> {
        const read = await this.readCurrent();
        if (read.kind !== "read") {
            this.ledger = undefined;
        }
        return { kind: "superseded" };
    }

    private async readCurrent(): Promise<LedgerReadOutcome> {
        const outcome = await this.options.store.read(this.key(), "claim");
        if (outcome.kind === "unavailable") {
            return outcome;
        }
        if (outcome.kind === "absent") {
            this.setCurrent(emptyLedger(), 0);
            return { kind: "read" };
        }
        const parsed = zoneLedgerSchema.safeParse(outcome.object.value);
        if (!parsed.success) {
            return { kind: "invalid", reason: parsed.error.message };
        }
        this.setCurrent(parsed.data, outcome.object.revision);
        return { kind: "read" };
    }

    private setCurrent(ledger: ZoneLedger, revision: Revision): void {
        this.ledger = ledger;
        this.ledgerRevision = revision;
    }

    private key(): { kind: string; name: string; } {
        return { kind: "zone-ledger", name: this.options.zone };
    }
}

function emptyLedger(): ZoneLedger {
    return { nonce: "", leaseFence: 0, lastEpoch: 0, claims: {}, groups: {} };
}

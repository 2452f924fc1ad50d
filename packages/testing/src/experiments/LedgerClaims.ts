import { LedgerDraft, ZoneLedgerStore } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import type { Random } from "@fescuehaven/runtime";
import type { ClaimLayout } from "./ClaimLayout.js";

/** Attempts at a claim before it fails. */
const MAX_ATTEMPTS = 20;

/** Stores all claims of a zone in one ledger object. */
export class LedgerClaims implements ClaimLayout {
    private constructor(private readonly ledgers: ZoneLedgerStore, private readonly vms: readonly string[]) {}

    /** Creates the layout for a zone with these VMs. */
    static create(options: { store: ObjectStore; random: Random; vms: readonly string[]; }): LedgerClaims {
        return new LedgerClaims(ZoneLedgerStore.create({ ...options, zone: "z" }), options.vms);
    }

    /** Claims VMs by one conditional update; retries with the newest ledger if another update was made first. */
    async claim(group: string, count: number): Promise<boolean> {
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const ledger = this.ledgers.current;
            if (!ledger) {
                await this.ledgers.refresh();
                continue;
            }
            const members = this.vms.filter(vm => !ledger.claims[vm]).slice(0, count);
            if (members.length < count) {
                return false;
            }
            const draft = LedgerDraft.create(ledger);
            draft.form(group, { modelVersion: "m", fabricDomain: "d", members });
            if ((await this.ledgers.commit(draft.ledger, 1)).kind === "committed") {
                return true;
            }
        }
        return false;
    }

    /** Reads the claimed VMs of each group from the ledger. */
    async claimedVms(): Promise<Map<string, string[]>> {
        await this.ledgers.refresh();
        const groups = this.ledgers.current?.groups ?? {};
        return new Map(Object.entries(groups).map(([group, entry]) => [group, entry.members]));
    }
}

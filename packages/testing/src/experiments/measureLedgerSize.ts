import { LedgerDraft } from "@fescuehaven/coordination";
import type { ZoneLedger } from "@fescuehaven/resources";

/** Returns the size of a zone's ledger as JSON, in bytes, with every VM claimed. */
export function measureLedgerSize(vmCount: number, memberCount: number): number {
    const empty: ZoneLedger = { nonce: "", leaseFence: 1, lastEpoch: 100_000, claims: {}, groups: {} };
    const draft = LedgerDraft.create(empty);
    for (let first = 0, group = 0; first + memberCount <= vmCount; first += memberCount, group++) {
        const indexes = Array.from({ length: memberCount }, (_, rank) => first + rank);
        draft.form(`serving-group-${group}`, {
            modelVersion: "model-name-version-2026-01",
            fabricDomain: `fabric-domain-${group}`,
            members: indexes.map(index => `engine-vm-koper-1-${index}`),
            memberUrls: indexes.map(index =>
                `http://10.100.${100 + Math.floor(index / 100)}.${100 + index % 100}:8000`
            ),
        });
    }
    const nonce = "00000000-0000-4000-8000-000000000000";
    return Buffer.byteLength(JSON.stringify({ ...draft.ledger, nonce }));
}

import type { JournalResponse } from "./JournalResponse.js";

/** A change to a key's record, requested by one attempt. */
export type JournalOperation =
    | { kind: "claim"; keyHash: string; claimant: string; requestDigest: string; issuedAtMs: number; }
    | { kind: "finish"; keyHash: string; claimant: string; response: JournalResponse; }
    | { kind: "release"; keyHash: string; claimant: string; };

import type { JournalAnswer } from "./JournalAnswer.js";

/** One change that an attempt asks of a key's record. */
export type JournalOperation =
    | { kind: "claim"; keyHash: string; claimant: string; requestDigest: string; }
    | { kind: "finish"; keyHash: string; claimant: string; answer: JournalAnswer; }
    | { kind: "release"; keyHash: string; claimant: string; };

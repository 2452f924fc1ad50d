import type { Suspect } from "./Suspect.js";

/** What it takes to block requests with a suspect. */
export interface SuspectCriteria {
    /** Name of the suspect in log lines. */
    name: string;
    /** Why its requests are refused. */
    refusalReason: string;
    /** Returns the number of crashes that count as evidence. */
    evidenceOf: (suspect: Suspect) => number;
    /** A suspect is blocked if a sound one would collect as much evidence with a lower probability than this. */
    blockProbability: number;
    /** The same for a suspect to which responses have begun before its crashes: it is more probably sound. */
    knownBlockProbability: number;
    /** Time between the first and the last crash of such a suspect before it is blocked. */
    minKnownSpanMs: number;
    /** Trials that count as sent when such a suspect is blocked, as its last crashes were as good as trials. */
    knownBlockTrials: number;
    /** The same for not sending a request once more after a crash. */
    denyRetryProbability: number;
    /** True if a request has several suspects, so that another one may be the cause of the same crashes. */
    mayBeExplained: boolean;
}

/** Criteria by kind of suspect. */
export const suspectCriteria = {
    promptPart: {
        name: "prompt part",
        refusalReason: "upstreams crash under such prompts",
        evidenceOf: suspect => suspect.evidence,
        blockProbability: 5e-4,
        knownBlockProbability: 1e-8,
        minKnownSpanMs: 0,
        knownBlockTrials: 0,
        denyRetryProbability: 0.1,
        mayBeExplained: true,
    },
    // Only repeats of one request share a fingerprint. A sound request rarely meets several crashes, and refusing it in
    // error costs that request only, so the number of crashes suffices, even if they happened at the same time.
    request: {
        name: "request",
        refusalReason: "upstreams crash under this request",
        evidenceOf: suspect => suspect.crashes.size,
        blockProbability: 1,
        knownBlockProbability: 5e-4,
        // Longer than an upstream takes to come back: a sound request that is frequent gets responses in between.
        minKnownSpanMs: 2500,
        knownBlockTrials: 1,
        denyRetryProbability: 1,
        mayBeExplained: false,
    },
} satisfies Record<string, SuspectCriteria>;

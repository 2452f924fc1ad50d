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
        denyRetryProbability: 1,
        mayBeExplained: false,
    },
} satisfies Record<string, SuspectCriteria>;

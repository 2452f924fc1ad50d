import type { ClaimKeyResponse, FinishKeyResponse, ReleaseKeyResponse } from "@fescuehaven/protocol";
import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import type { JournalFinishOutcome } from "./JournalFinishOutcome.js";
import type { JournalReleaseOutcome } from "./JournalReleaseOutcome.js";

interface ClaimMessage {
    kind: string;
    answerHeld?: boolean;
    status?: number;
    body?: Uint8Array<ArrayBuffer>;
    contentType?: string;
    retryAfterMs?: number;
}

const claimEncoders: {
    [K in JournalClaimOutcome["kind"]]: (outcome: JournalClaimOutcome & { kind: K; }) => ClaimMessage;
} = {
    claimed: () => ({ kind: "claimed" }),
    "held-by-other": () => ({ kind: "held" }),
    finished: ({ answer }) => ({ kind: "finished", answerHeld: true, ...answer, body: new Uint8Array(answer.body) }),
    "finished-without-answer": () => ({ kind: "finished", answerHeld: false }),
    "mismatched-request": () => ({ kind: "mismatch" }),
    unavailable: ({ retryAfterMs }) => ({ kind: "unavailable", retryAfterMs: Math.ceil(retryAfterMs) }),
    unknown: () => ({ kind: "unknown" }),
};

const claimDecoders: Record<string, (message: ClaimKeyResponse) => JournalClaimOutcome> = {
    claimed: () => ({ kind: "claimed" }),
    held: () => ({ kind: "held-by-other" }),
    finished: ({ answerHeld, status, body, contentType }) =>
        answerHeld
            ? { kind: "finished", answer: { status, body, contentType } }
            : { kind: "finished-without-answer" },
    mismatch: () => ({ kind: "mismatched-request" }),
    unavailable: ({ retryAfterMs }) => ({ kind: "unavailable", retryAfterMs }),
};

/** Turns outcomes into messages between routers and back. A kind that is not known here reads as `unknown`. */
export const JournalMessages = {
    /** Message of a claim's outcome. */
    encodeClaim: (outcome: JournalClaimOutcome): ClaimMessage => {
        const encode: (outcome: never) => ClaimMessage = claimEncoders[outcome.kind];
        return encode(outcome as never);
    },

    /** Outcome of a claim's message. */
    decodeClaim: (message: ClaimKeyResponse): JournalClaimOutcome =>
        claimDecoders[message.kind]?.(message) ?? { kind: "unknown" },

    /** Outcome of a finish's message. */
    decodeFinish: (message: FinishKeyResponse): JournalFinishOutcome =>
        message.kind === "recorded" ? { kind: "recorded" } : { kind: "unknown" },

    /** Outcome of a release's message. */
    decodeRelease: (message: ReleaseKeyResponse): JournalReleaseOutcome =>
        message.kind === "released" ? { kind: "released" } : { kind: "unknown" },
};

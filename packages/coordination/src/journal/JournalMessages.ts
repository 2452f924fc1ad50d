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
    finished: ({ response }) => ({
        kind: "finished",
        answerHeld: true,
        ...response,
        body: new Uint8Array(response.body),
    }),
    "finished-without-response": () => ({ kind: "finished", answerHeld: false }),
    "mismatched-request": () => ({ kind: "mismatch" }),
    "possibly-lost": () => ({ kind: "lost" }),
    unavailable: ({ retryAfterMs }) => ({ kind: "unavailable", retryAfterMs: Math.ceil(retryAfterMs) }),
    unknown: () => ({ kind: "unknown" }),
};

const claimDecoders: Record<string, (message: ClaimKeyResponse) => JournalClaimOutcome> = {
    claimed: () => ({ kind: "claimed" }),
    held: () => ({ kind: "held-by-other" }),
    finished: ({ answerHeld, status, body, contentType }) =>
        answerHeld
            ? { kind: "finished", response: { status, body, contentType } }
            : { kind: "finished-without-response" },
    mismatch: () => ({ kind: "mismatched-request" }),
    lost: () => ({ kind: "possibly-lost" }),
    unavailable: ({ retryAfterMs }) => ({ kind: "unavailable", retryAfterMs }),
};

/** Converts outcomes to and from messages between routers. An unrecognised kind is decoded as `unknown`. */
export const JournalMessages = {
    /** Encodes the outcome of a claim. */
    encodeClaim: (outcome: JournalClaimOutcome): ClaimMessage => {
        const encode: (outcome: never) => ClaimMessage = claimEncoders[outcome.kind];
        return encode(outcome as never);
    },

    /** Decodes the outcome of a claim. */
    decodeClaim: (message: ClaimKeyResponse): JournalClaimOutcome =>
        claimDecoders[message.kind]?.(message) ?? { kind: "unknown" },

    /** Decodes the outcome of recording a response. */
    decodeFinish: (message: FinishKeyResponse): JournalFinishOutcome =>
        message.kind === "recorded" ? { kind: "recorded" } : { kind: "unknown" },

    /** Decodes the outcome of a release. */
    decodeRelease: (message: ReleaseKeyResponse): JournalReleaseOutcome =>
        message.kind === "released" ? { kind: "released" } : { kind: "unknown" },
};

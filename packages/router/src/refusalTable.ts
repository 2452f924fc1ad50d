import type { RefusalKind } from "./RefusalKind.js";

/** Retry-after delay when no better estimate is known. */
const RETRY_AFTER_MS = 1000;

/** Every refusal that callers may receive, by type. */
export const refusalTable = {
    "bad-request": { status: 400, message: "The call is not well formed." },
    "unauthorized": { status: 401, message: "No client account has this API key." },
    "not-found": { status: 404, message: "There is no such route." },
    "body-too-large": { status: 413, message: "The body is larger than this router takes." },
    "missing-idempotency-key": { status: 400, message: "Calls on this route need an idempotency-key header." },
    "missing-issued-at": {
        status: 400,
        message: "Calls on this route need an issued-at header with an ISO 8601 time. This call was not sent.",
    },
    "issued-too-long-ago": {
        status: 409,
        message: "The call was issued longer ago than records are kept. It was not sent; an earlier one may have run.",
    },
    "issued-in-future": {
        status: 400,
        message: "The call was issued in the future, past the allowance for clock error. It was not sent.",
    },
    "key-in-use": { status: 409, message: "Another call holds this key: it is in progress or its outcome is unknown." },
    "key-mismatch": { status: 409, message: "This key was used with another content. This call was not sent." },
    "answer-no-longer-held": { status: 409, message: "A call with this key ran. Its answer is no longer held." },
    "record-lost": {
        status: 409,
        message: "Records of keys from that time were lost. This call was not sent; an earlier one may have run.",
    },
    "journal-unavailable": {
        status: 503,
        message: "The record of keys cannot be reached. This call was not sent; an earlier one may have run.",
    },
    "outcome-unknown": {
        status: 503,
        message: "The call was sent and its outcome is not known.",
        retryAfterMs: RETRY_AFTER_MS,
    },
    "too-many-requests": { status: 429, message: "The client account has too many calls waiting." },
    "overloaded": { status: 503, message: "The router's queues are full." },
    "no-upstream": { status: 503, message: "No upstream can take the call.", retryAfterMs: RETRY_AFTER_MS },
    "deadline": { status: 504, message: "The deadline passed.", retryAfterMs: RETRY_AFTER_MS },
    "deadline-unreachable": { status: 503, message: "The call cannot be served before its deadline." },
    "draining": { status: 503, message: "This router is shutting down." },
    "broken": {
        status: 503,
        message: "The answer broke off and could not be resumed.",
        retryAfterMs: RETRY_AFTER_MS,
    },
    "caller-gone": { status: 499, message: "The caller closed the connection." },
    "internal": { status: 500, message: "The router failed on this call.", retryAfterMs: RETRY_AFTER_MS },
} as const satisfies Record<string, RefusalKind>;

import type { Refusal } from "./Refusal.js";
import type { RefusalKind } from "./RefusalKind.js";
import { refusalTable } from "./refusalTable.js";

/** Creates a refusal; `details` override the type's message and retry-after delay. */
export function createRefusal(
    type: keyof typeof refusalTable,
    ran: Refusal["ran"],
    details: { retryAfterMs?: number; message?: string; } = {},
): Refusal {
    const kind: RefusalKind = refusalTable[type];
    return {
        status: kind.status,
        type,
        message: details.message ?? kind.message,
        ran,
        retryAfterMs: details.retryAfterMs ?? kind.retryAfterMs,
    };
}

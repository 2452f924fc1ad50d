import type { Refusal } from "./Refusal.js";
import { refusalTable } from "./refusalTable.js";

/** Makes a refusal of a known type. */
export function createRefusal(
    type: keyof typeof refusalTable,
    ran: Refusal["ran"],
    details: { retryAfterMs?: number; message?: string; } = {},
): Refusal {
    const { status, message } = refusalTable[type];
    return { status, type, message: details.message ?? message, ran, retryAfterMs: details.retryAfterMs };
}

import type { ChatCall } from "./ChatCall.js";

/** The prompt that an engine gets for a call. */
export function promptOf(call: ChatCall): string {
    return `user: ${call.content}\n`;
}

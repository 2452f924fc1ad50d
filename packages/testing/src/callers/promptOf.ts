import type { ChatCall } from "./ChatCall.js";

/** Returns the prompt that the router sends to an engine for a chat call. */
export function promptOf(call: ChatCall): string {
    return `user: ${call.content}\n`;
}

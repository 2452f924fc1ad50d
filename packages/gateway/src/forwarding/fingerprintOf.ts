import { hash } from "node:crypto";
import type { IncomingRequest } from "../model/IncomingRequest.js";

/** Characters of a fingerprint: enough that no two requests share one by chance. */
const FINGERPRINT_CHARACTERS = 16;

/** Returns a text that two requests share only if they ask for the same: their account, host, target and body are equal. */
export function fingerprintOf({ method, host, target, body }: IncomingRequest, account: string | undefined): string {
    const asked = JSON.stringify([account, method, host, target]);
    const bodyHash = body ? hash("sha256", body, "base64url") : "";
    return hash("sha256", `${asked}${bodyHash}`, "base64url").slice(0, FINGERPRINT_CHARACTERS);
}

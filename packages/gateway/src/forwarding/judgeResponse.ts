import type { UpstreamResponse } from "../ports/UpstreamResponse.js";
import { promisesNotRun } from "./promisesNotRun.js";
import type { ResponseVerdict } from "./ResponseVerdict.js";

/**
 * Decides what a response means that does not state that its request has not run. Whatever its status, the request may
 * have run: a response is forwarded only if its caller concludes nothing else from it.
 */
export function judgeResponse(
    { head: { status }, isSigned }: Pick<UpstreamResponse & { kind: "answered"; }, "head" | "isSigned">,
): ResponseVerdict {
    if (promisesNotRun(status)) {
        return "misleading-failure";
    }
    if (status >= 500) {
        return "failure";
    }
    if (status >= 300) {
        return "final";
    }
    return isSigned ? "success" : "unproven";
}

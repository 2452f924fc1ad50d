import type { ServiceClient } from "../../src/ports/ServiceClient.js";
import type { ServiceOutcome } from "../../src/services/ServiceOutcome.js";
import type { ServiceRequest } from "../../src/services/ServiceRequest.js";

type Step = ServiceOutcome["kind"] | "hold";

/** A plain service whose outcome a test sets for each call; it records executions with their endpoint URL and key. */
export class ScriptedService implements ServiceClient {
    readonly executions: Array<{ url: string; requestId: string; key?: string; }> = [];
    readonly steps: Step[] = [];
    private held: Array<() => void> = [];

    private constructor() {}

    static create(): ScriptedService {
        return new ScriptedService();
    }

    release(): void {
        this.held.splice(0).forEach(resume => resume());
    }

    async call(url: string, _path: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceOutcome> {
        const step = this.steps.shift() ?? "answered";
        if (step === "did-not-run") {
            return { kind: step, reason: "refused" };
        }
        this.executions.push({ url, requestId: request.requestId, key: request.idempotencyKey });
        if (step === "hold") {
            const isAborted = await new Promise<boolean>(resolve => {
                this.held.push(() => resolve(false));
                signal.addEventListener("abort", () => resolve(true), { once: true });
            });
            if (isAborted) {
                return { kind: "outcome-unknown", reason: "aborted" };
            }
        }
        if (step === "outcome-unknown") {
            return { kind: step, reason: "reset" };
        }
        const body = Buffer.from(JSON.stringify({ count: this.executions.length }));
        return { kind: "answered", response: { status: 200, body, contentType: "application/json" } };
    }
}

import type { ExplanationReader } from "../ports/ExplanationReader.js";

/** Reads explanations at the metrics addresses of gateways. */
export class HttpExplanationReader implements ExplanationReader {
    private constructor(private readonly timeoutMs: number) {}

    /** Creates a reader whose requests take no longer than `timeoutMs`. */
    static create(timeoutMs: number): HttpExplanationReader {
        return new HttpExplanationReader(timeoutMs);
    }

    /** Returns a gateway's answer; undefined if the request failed, timed out or was rejected. */
    async explain(
        gateway: string,
        { host, target, model, promptTokens }: Parameters<ExplanationReader["explain"]>[1],
    ): Promise<unknown> {
        try {
            const url = new URL("/explain", gateway);
            const query = { host, target, promptTokens: String(promptTokens), ...model !== undefined && { model } };
            url.search = new URLSearchParams(query).toString();
            const response = await fetch(url, { signal: AbortSignal.timeout(this.timeoutMs) });
            return response.ok ? await response.json() : undefined;
        }
        catch {
            return undefined;
        }
    }
}

import { Agent, request } from "undici";
import type { ServiceClient } from "../ports/ServiceClient.js";
import type { ServiceOutcome } from "../services/ServiceOutcome.js";
import type { ServiceRequest } from "../services/ServiceRequest.js";
import { isNeverSent } from "../util/isNeverSent.js";

interface HttpServiceClientOptions {
    /** Local address of the connections. */
    localAddress?: string;
    /** Longest wait for a connection. */
    connectTimeoutMs: number;
    /** Largest response body that is accepted. */
    maxAnswerBytes: number;
}

/** Lower statuses are responses of the service itself; from here on it is unknown whether the call ran. */
const FIRST_FAILURE_STATUS = 500;

/** Client of plain services over HTTP/1.1. */
export class HttpServiceClient implements ServiceClient {
    private constructor(private readonly agent: Agent, private readonly maxAnswerBytes: number) {}

    /** Creates a client. */
    static create(options: HttpServiceClientOptions): HttpServiceClient {
        return new HttpServiceClient(
            new Agent({
                pipelining: 1,
                headersTimeout: 0,
                bodyTimeout: 0,
                connect: { timeout: options.connectTimeoutMs, localAddress: options.localAddress },
            }),
            options.maxAnswerBytes,
        );
    }

    /** Sends a call without retries. */
    async call(
        endpointUrl: string,
        path: string,
        call: ServiceRequest,
        signal: AbortSignal,
    ): Promise<ServiceOutcome> {
        let hasResponse = false;
        try {
            const response = await request(new URL(path, endpointUrl), {
                dispatcher: this.agent,
                method: "POST",
                headers: headersOf(call),
                body: call.body,
                signal,
            });
            hasResponse = true;
            const { statusCode, headers } = response;
            if (headers["did-not-run"] === "true") {
                await response.body.dump();
                const retryAfterMs = Number(headers["retry-after-ms"]);
                return {
                    kind: "did-not-run",
                    reason: "refused",
                    retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
                };
            }
            const body = await this.readBody(response.body);
            if (!body || statusCode >= FIRST_FAILURE_STATUS) {
                return { kind: "outcome-unknown", reason: body ? `status-${statusCode}` : "answer-too-long" };
            }
            const contentType = String(headers["content-type"] ?? "application/octet-stream");
            return { kind: "answered", response: { status: statusCode, body, contentType } };
        }
        catch (error) {
            const reason = (error as { code?: string; }).code ?? "error";
            const isUnsent = !hasResponse && isNeverSent(error);
            return { kind: isUnsent ? "did-not-run" : "outcome-unknown", reason };
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async readBody(body: AsyncIterable<Uint8Array>): Promise<Uint8Array | undefined> {
        const parts: Uint8Array[] = [];
        let length = 0;
        for await (const bytes of body) {
            length += bytes.byteLength;
            if (length > this.maxAnswerBytes) {
                return undefined;
            }
            parts.push(bytes);
        }
        return Buffer.concat(parts);
    }
}

function headersOf(call: ServiceRequest): Record<string, string> {
    return {
        "content-type": call.contentType,
        "request-id": call.requestId,
        ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
    };
}

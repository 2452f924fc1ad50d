import type { Clock } from "@fescuehaven/runtime";
import { Agent, request } from "undici";
import { z } from "zod";

interface PlatformHttpOptions {
    /** Base URL of the platform's API. */
    url: string;
    /** Longest wait for a response. */
    timeoutMs: number;
    /** Local address of outgoing connections. */
    localAddress?: string;
    clock: Clock;
}

/** One HTTP call to the platform. */
interface PlatformCall {
    method: "GET" | "POST" | "PUT" | "DELETE";
    path: string;
    headers?: Record<string, string>;
    body?: unknown;
    /** Replaces the default timeout; watches need a longer one. */
    timeoutMs?: number;
    signal?: AbortSignal;
}

/** Result of a call. */
type PlatformResponse =
    | {
        kind: "answered";
        status: number;
        body: unknown;
        etag?: string;
        /** Values by lower-case name. */
        headers: Readonly<Record<string, string | string[] | undefined>>;
    }
    /** The connection was refused: nothing reached the platform. */
    | { kind: "not-sent"; }
    /** No usable response: the call may have taken effect. */
    | { kind: "lost"; };

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 10_000;
const NOT_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);
const errorCodeSchema = z.object({ code: z.string() });

/** Makes HTTP calls to the platform, each with a timeout. After a timeout, new calls use a new connection. */
export class PlatformHttp {
    private agent: Agent;

    private constructor(private readonly options: PlatformHttpOptions) {
        this.agent = this.createAgent();
    }

    /** Creates the client. */
    static create(options: PlatformHttpOptions): PlatformHttp {
        return new PlatformHttp(options);
    }

    /** Makes one call. Never rejects. */
    async call(call: PlatformCall): Promise<PlatformResponse> {
        const timeout = new AbortController();
        const finished = new AbortController();
        const agent = this.agent;
        let timedOut = false;
        void this.options.clock.sleep(call.timeoutMs ?? this.options.timeoutMs, finished.signal).then(() => {
            timedOut = !finished.signal.aborted;
            timeout.abort();
        });
        const signal = call.signal ? AbortSignal.any([timeout.signal, call.signal]) : timeout.signal;
        try {
            const response = await request(new URL(call.path, this.options.url), {
                method: call.method,
                headers: { ...(call.body !== undefined && { "content-type": "application/json" }), ...call.headers },
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                dispatcher: agent,
                signal,
            });
            const text = await response.body.text();
            const { etag } = response.headers;
            return {
                kind: "answered",
                status: response.statusCode,
                body: text === "" ? undefined : JSON.parse(text),
                etag: typeof etag === "string" ? etag : undefined,
                headers: response.headers,
            };
        }
        catch (error) {
            if (timedOut && agent === this.agent) {
                this.replaceAgent();
            }
            const code = errorCodeSchema.safeParse(error);
            return code.success && NOT_SENT_CODES.has(code.data.code) ? { kind: "not-sent" } : { kind: "lost" };
        }
        finally {
            finished.abort();
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private createAgent(): Agent {
        return new Agent({
            connect: { timeout: CONNECT_TIMEOUT_MS, localAddress: this.options.localAddress },
            keepAliveTimeout: KEEP_ALIVE_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            pipelining: 1,
        });
    }

    private replaceAgent(): void {
        const old = this.agent;
        this.agent = this.createAgent();
        void old.close().catch(() => undefined);
    }
}

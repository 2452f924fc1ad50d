import type { ConfigurationView } from "@fescuehaven/coordination";
import { type Clock, type Random, waitUntilSocketsRead } from "@fescuehaven/runtime";
import type { EventRecorder, Logger, Metrics } from "@fescuehaven/telemetry";
import fastify, {
    type FastifyInstance,
    type FastifyReply,
    type FastifyRequest,
    type FastifyServerFactory,
} from "fastify";
import type { AccountDirectory } from "../admission/AccountDirectory.js";
import { createRefusal } from "../createRefusal.js";
import type { Refusal } from "../Refusal.js";
import type { CallContext } from "./CallContext.js";
import type { CallTracker } from "./CallTracker.js";
import type { ChatHandler } from "./ChatHandler.js";
import { sendRefusal } from "./sendRefusal.js";
import type { ServiceHandler } from "./ServiceHandler.js";
import { waitUntilSent } from "./waitUntilSent.js";

interface RouterServerOptions {
    clock: Clock;
    random: Random;
    events: EventRecorder;
    logger: Logger;
    metrics: Metrics;
    configuration: ConfigurationView;
    accounts: AccountDirectory;
    calls: CallTracker;
    chat: ChatHandler;
    services: ServiceHandler;
    /** Largest body of a call. */
    bodyLimitBytes: number;
    /** Creates the server; default: plain HTTP. */
    serverFactory?: FastifyServerFactory;
    /** Longest wait for a slow caller to receive its response. */
    callerStallMs: number;
}

type CallHandler = (call: CallContext, request: FastifyRequest, reply: FastifyReply) => Promise<Refusal | undefined>;

const DRAIN_RETRY_AFTER_MS = 1000;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Refusal types by code of an error that the HTTP library reports before a handler runs. */
const libraryErrorTypes: Record<string, "body-too-large" | "bad-request"> = {
    FST_ERR_CTP_BODY_TOO_LARGE: "body-too-large",
};

/** HTTP server for callers, with health checks. */
export class RouterServer {
    /** The HTTP server; tests send requests with `inject`. */
    readonly http: FastifyInstance;

    private constructor(private readonly options: RouterServerOptions) {
        this.http = fastify({
            bodyLimit: options.bodyLimitBytes,
            forceCloseConnections: "idle",
            // Requests that arrive while the server closes are refused by the handler, which says whether they ran.
            return503OnClosing: false,
            serverFactory: options.serverFactory,
        });
        this.addParsers();
        this.addRoutes();
        this.addErrorHandlers();
    }

    /** Creates a server; `listen` starts it. */
    static create(options: RouterServerOptions): RouterServer {
        return new RouterServer(options);
    }

    /** Starts listening; port 0 selects a free one. Returns the base URL. */
    async listen(host: string, port: number): Promise<string> {
        return this.http.listen({ host, port });
    }

    /** Stops listening and closes idle connections, once requests that have arrived are read. */
    async close(): Promise<void> {
        await waitUntilSocketsRead();
        await this.http.close();
    }

    private addParsers(): void {
        this.http.removeAllContentTypeParsers();
        this.http.addContentTypeParser(
            "*",
            { parseAs: "buffer" },
            async (_request: FastifyRequest, body: Buffer) => body,
        );
    }

    private addRoutes(): void {
        this.http.addHook("onRequest", async (request, reply) => {
            const requestedId = request.headers["x-request-id"];
            const isUsable = typeof requestedId === "string" && REQUEST_ID_PATTERN.test(requestedId);
            request.id = isUsable ? requestedId : this.options.random.uniqueId();
            reply.header("x-request-id", request.id);
        });
        this.http.get("/healthz", async () => ({ status: "ok" }));
        this.http.get("/readyz", async (_request, reply) => {
            const isReady = this.options.configuration.complete && !this.options.calls.isDraining;
            return reply.code(isReady ? 200 : 503).send({ status: isReady ? "ready" : "not-ready" });
        });
        this.http.post(
            "/v1/chat/completions",
            (request, reply) => this.serve(request, reply, (call, ...rest) => this.options.chat.handle(call, ...rest)),
        );
        this.http.post(
            "/v1/services/:route",
            (request, reply) =>
                this.serve(request, reply, (call, ...rest) => this.options.services.handle(call, ...rest)),
        );
    }

    private addErrorHandlers(): void {
        this.http.setNotFoundHandler((_request, reply) => sendRefusal(reply, createRefusal("not-found", "no")));
        this.http.setErrorHandler<Error & { code?: string; statusCode?: number; }>((error, request, reply) => {
            const isCallerError = (error.statusCode ?? 500) < 500;
            if (!isCallerError) {
                this.options.logger.error(`Call ${request.id} failed: ${error.message}.`);
            }
            const type = libraryErrorTypes[error.code ?? ""] ?? (isCallerError ? "bad-request" : "internal");
            return sendRefusal(reply, createRefusal(type, isCallerError ? "no" : "unknown"));
        });
    }

    private async serve(request: FastifyRequest, reply: FastifyReply, handle: CallHandler): Promise<FastifyReply> {
        const startedMs = this.options.clock.monotonicMs();
        const requestId = request.id;
        this.options.events.record({ kind: "request-received", requestId });
        const tracked = this.options.calls.tryStart();
        try {
            const refusal = tracked
                ? await this.authenticateAndHandle(request, reply, handle)
                : refuseDraining(request, reply);
            this.recordResult(requestId, refusal, startedMs);
            if (refusal && !reply.sent) {
                sendRefusal(reply, refusal);
            }
            await waitUntilSent(reply.raw, this.options.clock, this.options.callerStallMs);
            return reply;
        }
        finally {
            tracked?.end();
        }
    }

    private recordResult(requestId: string, refusal: Refusal | undefined, startedMs: number): void {
        const durationMs = this.options.clock.monotonicMs() - startedMs;
        this.options.metrics.timing("request_ms", durationMs, { result: refusal?.type ?? "answered" });
        if (!refusal) {
            this.options.events.record({ kind: "request-answered", requestId, durationMs });
            return;
        }
        const kind = refusal.ran === "no" ? "request-refused" : "request-broken";
        this.options.events.record({ kind, requestId, durationMs, reason: refusal.type });
    }

    private async authenticateAndHandle(
        request: FastifyRequest,
        reply: FastifyReply,
        handle: CallHandler,
    ): Promise<Refusal | undefined> {
        const disconnected = new AbortController();
        reply.raw.once("close", () => {
            if (!reply.raw.writableFinished) {
                disconnected.abort();
            }
        });
        const caller = this.options.accounts.find(request.headers.authorization);
        return caller
            ? handle({ requestId: request.id, caller, signal: disconnected.signal }, request, reply)
            : createRefusal("unauthorized", "no");
    }
}

function refuseDraining(request: FastifyRequest, reply: FastifyReply): Refusal {
    reply.header("connection", "close");
    const isKeyed = request.headers["idempotency-key"] !== undefined;
    return createRefusal("draining", isKeyed ? "unknown" : "no", { retryAfterMs: DRAIN_RETRY_AFTER_MS });
}

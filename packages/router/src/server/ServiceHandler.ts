import type { ConfigurationView } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { FastifyReply, FastifyRequest } from "fastify";
import { createRefusal } from "../createRefusal.js";
import type { Refusal } from "../Refusal.js";
import type { KeyedCalls } from "../services/KeyedCalls.js";
import type { ServiceCall } from "../services/ServiceCall.js";
import type { ServiceDispatcher } from "../services/ServiceDispatcher.js";
import type { CallContext } from "./CallContext.js";
import { timeoutOf } from "./timeoutOf.js";

interface ServiceHandlerOptions {
    clock: Clock;
    configuration: ConfigurationView;
    services: ServiceDispatcher;
    keyed: KeyedCalls;
}

/** Serves plain service calls, repeatable and keyed ones. */
export class ServiceHandler {
    private constructor(private readonly options: ServiceHandlerOptions) {}

    /** Creates a handler. */
    static create(options: ServiceHandlerOptions): ServiceHandler {
        return new ServiceHandler(options);
    }

    /** Serves a call; returns the refusal if the call was refused. */
    async handle(context: CallContext, request: FastifyRequest, reply: FastifyReply): Promise<Refusal | undefined> {
        const name = (request.params as { route: string; }).route;
        const key = headerOf(request, "idempotency-key");
        const ranBeforeSend = key === undefined ? "no" : "unknown";
        const route = this.options.configuration.get("route", name)?.value;
        if (route?.target.kind !== "service") {
            return createRefusal("not-found", ranBeforeSend);
        }
        const timeoutMs = timeoutOf(request.headers["x-timeout-ms"], route.timeoutMs);
        if (timeoutMs === undefined) {
            return createRefusal("bad-request", ranBeforeSend, {
                message: "x-timeout-ms: expected whole milliseconds.",
            });
        }
        const call: ServiceCall = {
            route: name,
            service: route.target.service,
            path: route.target.path,
            caller: context.caller,
            request: {
                requestId: context.requestId,
                idempotencyKey: key,
                body: Buffer.isBuffer(request.body) ? request.body : new Uint8Array(),
                contentType: headerOf(request, "content-type") ?? "application/octet-stream",
            },
            deadlineMs: this.options.clock.monotonicMs() + timeoutMs,
            origin: "caller",
        };
        const result = route.target.repeatable
            ? await this.options.services.run(call, true, context.signal)
            : await this.options.keyed.run(call, headerOf(request, "issued-at"), context.signal);
        if (result.kind === "refused") {
            return result.refusal;
        }
        const { status, body, contentType } = result.response;
        reply.code(status).header("content-type", contentType).send(Buffer.from(body));
        return undefined;
    }
}

function headerOf(request: FastifyRequest, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

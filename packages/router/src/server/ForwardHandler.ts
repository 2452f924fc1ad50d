import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import type { ConfigurationView } from "@fescuehaven/coordination";
import {
    type ForwardGenerationEvent,
    ForwardGenerationEventSchema,
    type ForwardGenerationRequest,
    ForwardService,
    type ForwardServiceCallRequest,
    type ForwardServiceCallResponse,
    ForwardServiceCallResponseSchema,
} from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import type { Caller } from "../admission/Caller.js";
import type { GenerationDispatcher } from "../generation/GenerationDispatcher.js";
import type { GenerationOutcome } from "../generation/GenerationOutcome.js";
import type { ServiceDispatcher } from "../services/ServiceDispatcher.js";
import type { ServiceResult } from "../services/ServiceResult.js";
import { EventChannel } from "../util/EventChannel.js";
import type { CallTracker } from "./CallTracker.js";

interface ForwardHandlerOptions {
    clock: Clock;
    configuration: ConfigurationView;
    generations: GenerationDispatcher;
    services: ServiceDispatcher;
    calls: CallTracker;
}

type ForwardedEvent = MessageInitShape<typeof ForwardGenerationEventSchema>["event"];

/** A heartbeat is sent after this time without a token. */
const HEARTBEAT_MS = 1000;
const REFUSE_DRAINING = {
    kind: "refused",
    ran: false,
    reason: "draining",
    retryAfterMs: 1000,
    tokenCount: 0,
} as const;

/** Serves calls that peer routers forward; uses only the upstreams of this router's zone. */
export class ForwardHandler {
    private constructor(private readonly options: ForwardHandlerOptions) {}

    /** Creates a handler. */
    static create(options: ForwardHandlerOptions): ForwardHandler {
        return new ForwardHandler(options);
    }

    /** Registers the service at the peer interface. */
    registerOn(router: ConnectRouter): void {
        router.service(ForwardService, {
            forwardGeneration: (request, context) => this.forwardGeneration(request, context),
            forwardServiceCall: (request, context) => this.forwardServiceCall(request, context),
        });
    }

    private async *forwardGeneration(
        request: ForwardGenerationRequest,
        context: HandlerContext,
    ): AsyncGenerator<ForwardGenerationEvent> {
        const call = this.options.calls.tryStart();
        if (!call) {
            yield toMessage({ case: "end", value: REFUSE_DRAINING });
            return;
        }
        const readerClosed = new AbortController();
        const channel = EventChannel.create<ForwardedEvent>();
        const serving = this.serve(request, channel, AbortSignal.any([context.signal, readerClosed.signal]));
        try {
            yield* this.withHeartbeats(channel);
        }
        finally {
            readerClosed.abort();
            await serving;
            call.end();
        }
    }

    private async serve(
        request: ForwardGenerationRequest,
        channel: EventChannel<ForwardedEvent>,
        signal: AbortSignal,
    ): Promise<void> {
        const outcome = await this.options.generations.run(
            {
                requestId: request.requestId,
                caller: this.callerOf(request.clientAccount),
                modelVersion: request.modelVersion,
                prompt: request.prompt,
                maxTokens: request.maxTokens,
                resumeFromToken: request.resumeFromToken,
                deadlineMs: this.options.clock.monotonicMs() + request.remainingMs,
                origin: "peer",
                onlyIfFree: request.onlyIfFree,
            },
            (text, index) => channel.push({ case: "token", value: { index, text } }, signal),
            signal,
        );
        await channel.push({ case: "end", value: toEndEvent(outcome) }, signal);
        channel.close();
    }

    private async *withHeartbeats(channel: EventChannel<ForwardedEvent>): AsyncGenerator<ForwardGenerationEvent> {
        for (;;) {
            const next = await channel.next(HEARTBEAT_MS, this.options.clock);
            if (next.kind === "closed") {
                return;
            }
            yield next.kind === "item"
                ? toMessage(next.item)
                : create(ForwardGenerationEventSchema, { heartbeat: true });
        }
    }

    private async forwardServiceCall(
        request: ForwardServiceCallRequest,
        context: HandlerContext,
    ): Promise<ForwardServiceCallResponse> {
        const call = this.options.calls.tryStart();
        const target = this.options.configuration.get("route", request.service)?.value.target;
        if (!call || target?.kind !== "service") {
            call?.end();
            const reason = call ? "not-found" : "draining";
            return create(ForwardServiceCallResponseSchema, { kind: "did-not-run", reason, retryAfterMs: 1000 });
        }
        try {
            const result = await this.options.services.run(
                {
                    route: request.service,
                    service: target.service,
                    path: target.path,
                    caller: this.callerOf(request.clientAccount),
                    request: {
                        requestId: request.requestId,
                        idempotencyKey: request.idempotencyKey || undefined,
                        body: request.body,
                        contentType: request.contentType,
                    },
                    deadlineMs: this.options.clock.monotonicMs() + request.remainingMs,
                    origin: "peer",
                    onlyIfFree: request.onlyIfFree,
                },
                target.repeatable,
                context.signal,
            );
            return create(ForwardServiceCallResponseSchema, toResponse(result));
        }
        finally {
            call.end();
        }
    }

    private callerOf(account: string): Caller {
        const value = this.options.configuration.get("client-account", account)?.value;
        return {
            account,
            weight: value?.weight ?? 1,
            maxConcurrentRequests: value?.maxConcurrentRequests ?? 1,
            maxQueuedRequests: value?.maxQueuedRequests ?? 1,
            priority: value?.priority ?? 0,
        };
    }
}

function toEndEvent(outcome: GenerationOutcome) {
    if (outcome.kind === "finished") {
        return { kind: "finished", ran: true, tokenCount: outcome.tokenCount };
    }
    const { type, ran, retryAfterMs } = outcome.refusal;
    return { kind: ran === "no" ? "refused" : "broken", ran: ran !== "no", reason: type, retryAfterMs };
}

function toResponse(result: ServiceResult) {
    if (result.kind === "answered") {
        return { kind: "answered", ...result.response };
    }
    const { type, ran, retryAfterMs } = result.refusal;
    return { kind: ran === "no" ? "did-not-run" : "outcome-unknown", reason: type, retryAfterMs };
}

function toMessage(event: ForwardedEvent): ForwardGenerationEvent {
    return create(ForwardGenerationEventSchema, { event });
}

import type { ConfigurationView } from "@fescuehaven/coordination";
import type { Route } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { FastifyReply, FastifyRequest } from "fastify";
import { createRefusal } from "../createRefusal.js";
import type { GenerationCall } from "../generation/GenerationCall.js";
import type { GenerationDispatcher } from "../generation/GenerationDispatcher.js";
import type { Refusal } from "../Refusal.js";
import type { VersionPicker } from "../routing/VersionPicker.js";
import type { CallContext } from "./CallContext.js";
import { type ChatRequest, chatRequestSchema } from "./chatRequestSchema.js";
import { ChatStream } from "./ChatStream.js";
import { timeoutOf } from "./timeoutOf.js";

interface ChatHandlerOptions {
    clock: Clock;
    configuration: ConfigurationView;
    versions: VersionPicker;
    generations: GenerationDispatcher;
    /** Longest wait for a slow caller to receive more of its response. */
    callerStallMs: number;
}

type ModelTarget = Extract<Route["target"], { kind: "model"; }>;

/** Serves chat completion calls, with a complete or a streamed response. */
export class ChatHandler {
    private constructor(private readonly options: ChatHandlerOptions) {}

    /** Creates a handler. */
    static create(options: ChatHandlerOptions): ChatHandler {
        return new ChatHandler(options);
    }

    /** Serves a call; returns the refusal if the call was refused. */
    async handle(context: CallContext, request: FastifyRequest, reply: FastifyReply): Promise<Refusal | undefined> {
        const body = parseBody(request.body);
        if ("refusal" in body) {
            return body.refusal;
        }
        const route = this.findRoute(body.chat.model);
        const modelVersion = route && this.options.versions.pick(route.target);
        if (!route || modelVersion === undefined) {
            return createRefusal("not-found", "no", { message: `No route serves the model ${body.chat.model}.` });
        }
        const timeoutMs = timeoutOf(request.headers["x-timeout-ms"], route.timeoutMs);
        if (timeoutMs === undefined) {
            return createRefusal("bad-request", "no", { message: "x-timeout-ms: expected whole milliseconds." });
        }
        const call: GenerationCall = {
            requestId: context.requestId,
            caller: context.caller,
            modelVersion,
            prompt: body.chat.messages.map(({ role, content }) => `${role}: ${content}\n`).join(""),
            maxTokens: body.chat.max_tokens,
            resumeFromToken: 0,
            deadlineMs: this.options.clock.monotonicMs() + timeoutMs,
            origin: "caller",
        };
        return body.chat.stream
            ? this.respondStreamed(call, body.chat, context.signal, reply)
            : this.respondComplete(call, body.chat, context.signal, reply);
    }

    private async respondComplete(
        call: GenerationCall,
        chat: ChatRequest,
        signal: AbortSignal,
        reply: FastifyReply,
    ): Promise<Refusal | undefined> {
        const parts: string[] = [];
        const outcome = await this.options.generations.run(call, async text => void parts.push(text), signal);
        if (outcome.kind === "refused") {
            return outcome.refusal;
        }
        reply.send({
            id: call.requestId,
            object: "chat.completion",
            created: Math.floor(this.options.clock.now().getTime() / 1000),
            model: chat.model,
            choices: [{
                index: 0,
                message: { role: "assistant", content: parts.join("") },
                finish_reason: finishReason(outcome.tokenCount, call),
            }],
            usage: { completion_tokens: outcome.tokenCount },
        });
        return undefined;
    }

    private async respondStreamed(
        call: GenerationCall,
        chat: ChatRequest,
        signal: AbortSignal,
        reply: FastifyReply,
    ): Promise<Refusal | undefined> {
        const stalled = new AbortController();
        const stream = ChatStream.create({
            reply,
            clock: this.options.clock,
            requestId: call.requestId,
            model: chat.model,
            callerStallMs: this.options.callerStallMs,
            onStall: () => stalled.abort(),
        });
        const endSignal = AbortSignal.any([signal, stalled.signal]);
        const outcome = await this.options.generations.run(call, text => stream.writeToken(text), endSignal);
        if (outcome.kind === "finished") {
            stream.finish(finishReason(outcome.tokenCount, call));
            return undefined;
        }
        if (stream.hasBegun) {
            stream.fail(outcome.refusal);
        }
        return outcome.refusal;
    }

    private findRoute(model: string): { target: ModelTarget; timeoutMs: number; } | undefined {
        for (const { value } of this.options.configuration.list("route")) {
            if (value.target.kind === "model" && value.target.model === model) {
                return { target: value.target, timeoutMs: value.timeoutMs };
            }
        }
        return undefined;
    }
}

function parseBody(body: unknown): { chat: ChatRequest; } | { refusal: Refusal; } {
    let raw: unknown;
    try {
        raw = JSON.parse(Buffer.isBuffer(body) ? body.toString("utf8") : "");
    }
    catch {
        return { refusal: createRefusal("bad-request", "no", { message: "The body is not JSON." }) };
    }
    const parsed = chatRequestSchema.safeParse(raw);
    if (parsed.success) {
        return { chat: parsed.data };
    }
    const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || "(root)"}: ${issue.message}`);
    return { refusal: createRefusal("bad-request", "no", { message: problems.join("; ") }) };
}

function finishReason(tokenCount: number, call: GenerationCall): "stop" | "length" {
    return tokenCount >= call.maxTokens ? "length" : "stop";
}

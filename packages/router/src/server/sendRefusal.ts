import type { FastifyReply } from "fastify";
import type { Refusal } from "../Refusal.js";
import { refusalBody } from "./refusalBody.js";

/** Sends a refusal as the response to a call; its `retry-after` header is in seconds, at least 1. */
export function sendRefusal(reply: FastifyReply, refusal: Refusal): FastifyReply {
    if (refusal.retryAfterMs !== undefined) {
        reply.header("retry-after", String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))));
    }
    return reply.code(refusal.status).send(refusalBody(refusal));
}

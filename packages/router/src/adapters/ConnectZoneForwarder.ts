import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Peer, PeerClients } from "@fescuehaven/coordination";
import {
    type ForwardGenerationEvent,
    ForwardGenerationRequestSchema,
    ForwardService,
    ForwardServiceCallRequestSchema,
    type ForwardServiceCallResponse,
} from "@fescuehaven/protocol";
import type { ForwardedGeneration } from "../generation/ForwardedGeneration.js";
import type { StreamEvent } from "../generation/StreamEvent.js";
import type { ZoneForwarder } from "../ports/ZoneForwarder.js";
import type { ForwardedServiceCall } from "../services/ForwardedServiceCall.js";
import type { ServiceOutcome } from "../services/ServiceOutcome.js";
import { isNeverSent } from "../util/isNeverSent.js";

interface ConnectZoneForwarderOptions {
    clients: PeerClients;
}

/** Added to the call's remaining time, so that the peer's deadline passes first and its response still arrives. */
const DEADLINE_ALLOWANCE_MS = 500;

/** Forwards calls to peers over connect-es. */
export class ConnectZoneForwarder implements ZoneForwarder {
    private constructor(private readonly options: ConnectZoneForwarderOptions) {}

    /** Creates a forwarder. */
    static create(options: ConnectZoneForwarderOptions): ConnectZoneForwarder {
        return new ConnectZoneForwarder(options);
    }

    /** Starts a generation at the peer. */
    async *generate(peer: Peer, call: ForwardedGeneration, signal: AbortSignal): AsyncGenerator<StreamEvent> {
        try {
            const client = this.options.clients.get(ForwardService, peer);
            const stream = client.forwardGeneration(create(ForwardGenerationRequestSchema, call), {
                signal,
                timeoutMs: call.remainingMs + DEADLINE_ALLOWANCE_MS,
            });
            for await (const event of stream) {
                yield toStreamEvent(event, call);
            }
            yield { kind: "broken", reason: "stream-ended", sent: true };
        }
        catch (error) {
            yield { kind: "broken", reason: reasonOf(error), sent: !isNeverSent(error) };
        }
    }

    /** Sends a plain service call without retries. */
    async callService(peer: Peer, call: ForwardedServiceCall, signal: AbortSignal): Promise<ServiceOutcome> {
        try {
            const client = this.options.clients.get(ForwardService, peer);
            const response = await client.forwardServiceCall(
                create(ForwardServiceCallRequestSchema, {
                    requestId: call.request.requestId,
                    service: call.route,
                    idempotencyKey: call.request.idempotencyKey ?? "",
                    body: call.request.body,
                    contentType: call.request.contentType,
                    remainingMs: call.remainingMs,
                    clientAccount: call.clientAccount,
                    onlyIfFree: call.onlyIfFree,
                }),
                { signal, timeoutMs: call.remainingMs + DEADLINE_ALLOWANCE_MS },
            );
            return toServiceOutcome(response);
        }
        catch (error) {
            return { kind: isNeverSent(error) ? "did-not-run" : "outcome-unknown", reason: reasonOf(error) };
        }
    }

    /** Makes the next call to an unresponsive peer use a new connection. */
    abandon(peer: Peer): void {
        this.options.clients.abandon(peer);
    }
}

function toStreamEvent({ event }: ForwardGenerationEvent, call: ForwardedGeneration): StreamEvent {
    const { requestId, attemptId } = call;
    switch (event.case) {
        case "token":
            return { kind: "token", requestId, attemptId, index: event.value.index, text: event.value.text };
        case "end": {
            const { kind, ran, reason, retryAfterMs, tokenCount } = event.value;
            if (kind === "finished") {
                return { kind: "done", requestId, attemptId, tokenCount };
            }
            return ran
                ? { kind: "broken", reason, sent: true }
                : { kind: "refused", reason, retryAfterMs: retryAfterMs || undefined };
        }
        default:
            return { kind: "heartbeat" };
    }
}

function toServiceOutcome(response: ForwardServiceCallResponse): ServiceOutcome {
    const { kind, status, body, contentType, reason, retryAfterMs } = response;
    if (kind === "answered") {
        return { kind, response: { status, body, contentType } };
    }
    return kind === "did-not-run"
        ? { kind, reason, retryAfterMs: retryAfterMs || undefined }
        : { kind: "outcome-unknown", reason };
}

function reasonOf(error: unknown): string {
    return error instanceof ConnectError ? `peer-${Code[error.code]}` : "peer-error";
}

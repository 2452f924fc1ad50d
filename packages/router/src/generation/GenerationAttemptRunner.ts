import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder } from "@fescuehaven/telemetry";
import type { EngineClient } from "../ports/EngineClient.js";
import type { ZoneForwarder } from "../ports/ZoneForwarder.js";
import type { GroupAccess } from "../routing/GroupAccess.js";
import type { GroupSlot } from "../routing/GroupSlot.js";
import type { OpenGroup } from "../routing/OpenGroup.js";
import type { PeerSlot } from "../routing/PeerSlot.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationCall } from "./GenerationCall.js";
import type { StreamEvent } from "./StreamEvent.js";
import type { StreamReader } from "./StreamReader.js";
import type { TokenSequence } from "./TokenSequence.js";
import type { TokenSink } from "./TokenSink.js";

interface GenerationAttemptRunnerOptions {
    clock: Clock;
    random: Random;
    events: EventRecorder;
    access: GroupAccess;
    engines: EngineClient;
    forwarder: ZoneForwarder;
    /** Availability zone of this router. */
    zone: string;
    streamReader: StreamReader;
}

/** Runs single attempts at a generation: opens a stream at a group or a peer and reads it to its end. */
export class GenerationAttemptRunner {
    private constructor(private readonly options: GenerationAttemptRunnerOptions) {}

    /** Creates a runner. */
    static create(options: GenerationAttemptRunnerOptions): GenerationAttemptRunner {
        return new GenerationAttemptRunner(options);
    }

    /** Runs an attempt in the slot until its stream ends or `signal` aborts. The caller releases the slot. */
    async run(
        slot: GroupSlot | PeerSlot,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        if (signal.aborted) {
            return { kind: "refused", reason: "given-up" };
        }
        return slot.kind === "group"
            ? this.runAtGroup(slot, call, sequence, sink, signal)
            : this.runAtPeer(slot, call, sequence, sink, signal);
    }

    private async runAtGroup(
        slot: GroupSlot,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const open = this.options.access.findOpen(slot.group, call.modelVersion);
        if (!open || open.upstream.identity !== slot.upstream.identity) {
            return { kind: "refused", reason: "group-closed" };
        }
        const attemptId = this.options.random.uniqueId();
        const stop = new AbortController();
        const stream = this.startAtGroup(open, call, attemptId, sequence, AbortSignal.any([signal, stop.signal]));
        const outcome = await this.options.streamReader.read(stream, attemptId, sequence, sink, signal, stop);
        if (outcome.kind === "aborted" || outcome.kind === "broken") {
            void this.options.engines.cancel(open.evidence.headUrl, attemptId);
        }
        return outcome;
    }

    private startAtGroup(
        open: OpenGroup,
        call: GenerationCall,
        attemptId: string,
        sequence: TokenSequence,
        signal: AbortSignal,
    ): AsyncIterable<StreamEvent> {
        const { group, epoch, headUrl } = open.evidence;
        const { requestId } = call;
        this.options.events.record({ kind: "request-dispatched", requestId, group, epoch, count: sequence.next });
        return this.options.engines.generate(headUrl, {
            requestId,
            attemptId,
            group,
            epoch,
            prompt: call.prompt,
            maxTokens: call.maxTokens,
            resumeFromToken: sequence.next,
            priority: call.caller.priority,
        }, signal);
    }

    private async runAtPeer(
        slot: PeerSlot,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const attemptId = this.options.random.uniqueId();
        const stop = new AbortController();
        const { peer } = slot;
        this.options.events.record({
            kind: "request-forwarded",
            requestId: call.requestId,
            zone: peer.zone,
            reason: peer.name,
            count: sequence.next,
        });
        const stream = this.options.forwarder.generate(peer, {
            requestId: call.requestId,
            attemptId,
            clientAccount: call.caller.account,
            modelVersion: call.modelVersion,
            prompt: call.prompt,
            maxTokens: call.maxTokens,
            resumeFromToken: sequence.next,
            priority: call.caller.priority,
            remainingMs: Math.max(1, Math.floor(call.deadlineMs - this.options.clock.monotonicMs())),
            onlyIfFree: slot.peer.zone === this.options.zone,
        }, AbortSignal.any([signal, stop.signal]));
        const outcome = await this.options.streamReader.read(stream, attemptId, sequence, sink, signal, stop);
        if (outcome.kind === "broken" && outcome.reason === "silent") {
            this.options.forwarder.abandon(peer);
        }
        return outcome;
    }
}

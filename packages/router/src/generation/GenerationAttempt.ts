import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder } from "@fescuehaven/telemetry";
import type { EngineClient } from "../ports/EngineClient.js";
import type { ZoneForwarder } from "../ports/ZoneForwarder.js";
import type { GroupAccess } from "../routing/GroupAccess.js";
import type { GroupPlace } from "../routing/GroupPlace.js";
import type { OpenGroup } from "../routing/OpenGroup.js";
import type { PeerPlace } from "../routing/PeerPlace.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationCall } from "./GenerationCall.js";
import type { StreamEvent } from "./StreamEvent.js";
import type { StreamFollower } from "./StreamFollower.js";
import type { TokenSequence } from "./TokenSequence.js";
import type { TokenSink } from "./TokenSink.js";

interface GenerationAttemptOptions {
    clock: Clock;
    random: Random;
    events: EventRecorder;
    access: GroupAccess;
    engines: EngineClient;
    forwarder: ZoneForwarder;
    /** Availability zone of this router. */
    zone: string;
    follower: StreamFollower;
}

/** Runs one attempt at a generation: opens a stream at a group or a peer and follows it to its end. */
export class GenerationAttempt {
    private constructor(private readonly options: GenerationAttemptOptions) {}

    /** Creates the runner of attempts. */
    static create(options: GenerationAttemptOptions): GenerationAttempt {
        return new GenerationAttempt(options);
    }

    /** Runs an attempt at the place until its stream ends or `signal` aborts. Gives no slot back. */
    async run(
        place: GroupPlace | PeerPlace,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        if (signal.aborted) {
            return { kind: "refused", reason: "given-up" };
        }
        return place.kind === "group"
            ? this.runAtGroup(place, call, sequence, sink, signal)
            : this.runAtPeer(place, call, sequence, sink, signal);
    }

    private async runAtGroup(
        place: GroupPlace,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const open = this.options.access.check(place.group, call.modelVersion);
        if (!open || open.upstream.identity !== place.upstream.identity) {
            return { kind: "refused", reason: "group-closed" };
        }
        const attemptId = this.options.random.uniqueId();
        const stop = new AbortController();
        const stream = this.startAtGroup(open, call, attemptId, sequence, AbortSignal.any([signal, stop.signal]));
        const outcome = await this.options.follower.follow(stream, attemptId, sequence, sink, signal, stop);
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
        place: PeerPlace,
        call: GenerationCall,
        sequence: TokenSequence,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const attemptId = this.options.random.uniqueId();
        const stop = new AbortController();
        const { peer } = place;
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
            onlyIfFree: place.peer.zone === this.options.zone,
        }, AbortSignal.any([signal, stop.signal]));
        const outcome = await this.options.follower.follow(stream, attemptId, sequence, sink, signal, stop);
        if (outcome.kind === "broken" && outcome.reason === "silent") {
            this.options.forwarder.abandon(peer);
        }
        return outcome;
    }
}

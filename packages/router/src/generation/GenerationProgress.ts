import type { Refusal } from "../Refusal.js";
import type { GroupPlace } from "../routing/GroupPlace.js";
import type { PeerPlace } from "../routing/PeerPlace.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationCall } from "./GenerationCall.js";
import { TokenSequence } from "./TokenSequence.js";

/** What became of a generation so far, over all its attempts. */
export class GenerationProgress {
    /** The answer so far. */
    readonly sequence: TokenSequence;
    /** Groups of the own availability zone at which an attempt failed. */
    readonly failedGroups = new Set<string>();
    /** True once the call had a first place. */
    isAdmitted = false;

    /** When the call began or its last stream broke, on the monotonic clock. */
    progressedMs: number;

    private readonly failures = new Map<string, number>();
    private mayHaveRun = false;

    private constructor(readonly call: GenerationCall, nowMs: number) {
        this.progressedMs = nowMs;
        this.sequence = TokenSequence.create(call.requestId, call.resumeFromToken);
    }

    /** Creates the state of a call that begins. */
    static create(call: GenerationCall, nowMs: number): GenerationProgress {
        return new GenerationProgress(call, nowMs);
    }

    /** True once a token of this call went to the sink. */
    get hasTokens(): boolean {
        return this.sequence.next > this.call.resumeFromToken;
    }

    /** Whether any attempt ran, as far as is known. */
    get ran(): Refusal["ran"] {
        if (this.hasTokens) {
            return "yes";
        }
        return this.mayHaveRun ? "unknown" : "no";
    }

    /** Notes the end of an attempt. */
    note(outcome: AttemptOutcome, place: GroupPlace | PeerPlace, nowMs: number): void {
        if (outcome.kind === "broken") {
            this.progressedMs = nowMs;
        }
        if (outcome.kind === "aborted" || (outcome.kind === "broken" && outcome.sent)) {
            this.mayHaveRun = true;
        }
        if (outcome.kind === "finished" || outcome.kind === "aborted") {
            return;
        }
        const name = nameOf(place);
        this.failures.set(name, (this.failures.get(name) ?? 0) + 1);
        if (place.kind === "group") {
            this.failedGroups.add(place.group);
        }
    }

    /** True when attempts failed at this place more than once. */
    hasFailedBefore(place: GroupPlace | PeerPlace): boolean {
        return (this.failures.get(nameOf(place)) ?? 0) > 1;
    }
}

function nameOf(place: GroupPlace | PeerPlace): string {
    return place.kind === "group" ? `group ${place.group}` : `peer ${place.peer.name}`;
}

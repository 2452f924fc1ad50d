import type { Refusal } from "../Refusal.js";
import type { GroupSlot } from "../routing/GroupSlot.js";
import type { PeerSlot } from "../routing/PeerSlot.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { GenerationCall } from "./GenerationCall.js";
import { TokenSequence } from "./TokenSequence.js";

/** State of a generation over all its attempts. */
export class GenerationProgress {
    /** Joins the streams of the attempts into one response. */
    readonly sequence: TokenSequence;
    /** Groups of this router's availability zone at which an attempt failed. */
    readonly failedGroups = new Set<string>();
    /** True once the call had its first slot. */
    wasAdmitted = false;

    /** When the call began or its last stream broke, on the monotonic clock; wait limits count from here. */
    waitingSinceMs: number;

    private readonly failureCounts = new Map<string, number>();
    private mayHaveRun = false;

    private constructor(readonly call: GenerationCall, nowMs: number) {
        this.waitingSinceMs = nowMs;
        this.sequence = TokenSequence.create(call.requestId, call.resumeFromToken);
    }

    /** Creates the state of a new call. */
    static create(call: GenerationCall, nowMs: number): GenerationProgress {
        return new GenerationProgress(call, nowMs);
    }

    /** True once a token of this call was passed to the sink. */
    get hasTokens(): boolean {
        return this.sequence.next > this.call.resumeFromToken;
    }

    /** Whether any attempt ran, as far as this router knows. */
    get ran(): Refusal["ran"] {
        if (this.hasTokens) {
            return "yes";
        }
        return this.mayHaveRun ? "unknown" : "no";
    }

    /** Records how an attempt ended. */
    recordAttempt(outcome: AttemptOutcome, slot: GroupSlot | PeerSlot, nowMs: number): void {
        if (outcome.kind === "broken") {
            this.waitingSinceMs = nowMs;
        }
        if (outcome.kind === "aborted" || (outcome.kind === "broken" && outcome.sent)) {
            this.mayHaveRun = true;
        }
        if (outcome.kind === "finished" || outcome.kind === "aborted") {
            return;
        }
        const name = targetKeyOf(slot);
        this.failureCounts.set(name, (this.failureCounts.get(name) ?? 0) + 1);
        if (slot.kind === "group") {
            this.failedGroups.add(slot.group);
        }
    }

    /** Returns true when more than one attempt failed at the group or peer of this slot. */
    hasFailedRepeatedly(slot: GroupSlot | PeerSlot): boolean {
        return (this.failureCounts.get(targetKeyOf(slot)) ?? 0) > 1;
    }
}

function targetKeyOf(slot: GroupSlot | PeerSlot): string {
    return slot.kind === "group" ? `group ${slot.group}` : `peer ${slot.peer.name}`;
}

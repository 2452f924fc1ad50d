import { create } from "@bufbuild/protobuf";
import {
    type EvidenceUpdate,
    EvidenceUpdateSchema,
    type MemberReport as MemberReportMessage,
    MemberReportSchema,
} from "@fescuehaven/protocol";
import type { MemberObservation } from "./MemberObservation.js";

interface SentSlot {
    slot: number;
    identity: string;
    observedAtMs: number;
}

/** Encodes observations for one stream. A report of which only age and load changed is sent as numbers for its slot. */
export class EvidenceEncoder {
    private readonly sent = new Map<string, SentSlot>();

    private constructor(private readonly incarnation: string) {}

    /** Creates the encoder of a new stream; `incarnation` identifies this run of the process. */
    static create(incarnation: string): EvidenceEncoder {
        return new EvidenceEncoder(incarnation);
    }

    /** Returns an update with everything observed since the last one; an empty update is a heartbeat. */
    encode(observations: ReadonlyArray<[vm: string, observation: MemberObservation]>, nowMs: number): EvidenceUpdate {
        const update = create(EvidenceUpdateSchema, { incarnation: this.incarnation, sentAtMs: nowMs });
        for (const [vm, observation] of observations) {
            if (this.sent.get(vm)?.observedAtMs !== observation.observedAtMs) {
                this.add(update, vm, observation, nowMs);
            }
        }
        return update;
    }

    private add(update: EvidenceUpdate, vm: string, observation: MemberObservation, nowMs: number): void {
        const message = toMessage(vm, observation);
        const identity = identityOf(message);
        const known = this.sent.get(vm);
        const slot = known?.slot ?? this.sent.size;
        const ageMs = Math.ceil(nowMs - observation.observedAtMs);
        this.sent.set(vm, { slot, identity, observedAtMs: observation.observedAtMs });
        if (known?.identity === identity) {
            update.repeatedSlots.push(slot);
            update.repeatedAgesMs.push(ageMs);
            update.repeatedRunningRequests.push(message.runningRequests);
            update.repeatedWaitingRequests.push(message.waitingRequests);
        }
        else {
            message.slot = slot;
            message.ageMs = ageMs;
            update.reports.push(message);
        }
    }
}

function toMessage(vm: string, observation: MemberObservation): MemberReportMessage {
    if (observation.kind === "unreachable") {
        return create(MemberReportSchema, { vm, reachable: false });
    }
    const { report } = observation;
    return create(MemberReportSchema, { ...report, vm, reachable: true, epoch: BigInt(report.epoch) });
}

/** Returns everything in a report except age and load. */
function identityOf(report: MemberReportMessage): string {
    const { reachable, bootId, group, epoch, modelVersion, phase, rank } = report;
    return [reachable, bootId, group, epoch, modelVersion, phase, rank].join("\n");
}

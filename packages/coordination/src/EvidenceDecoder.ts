import type { EvidenceUpdate, MemberReport as MemberReportMessage } from "@fescuehaven/protocol";
import type { MemberObservation } from "./MemberObservation.js";
import type { MemberReport } from "./MemberReport.js";
import type { PeerClockBound } from "./PeerClockBound.js";

const PHASES: Readonly<Record<string, MemberReport["phase"]>> = { empty: "empty", loading: "loading", ready: "ready" };

/** Decodes the updates of one stream and converts their times to lower bounds on this process's clock. */
export class EvidenceDecoder {
    private readonly slots = new Map<number, MemberReportMessage>();

    private constructor(private readonly bound: PeerClockBound) {}

    /** Creates the decoder of a new stream. */
    static create(bound: PeerClockBound): EvidenceDecoder {
        return new EvidenceDecoder(bound);
    }

    /** Returns the observations of an update received at `nowMs`. None is dated later than it was made. */
    decode(update: EvidenceUpdate, nowMs: number): Array<[vm: string, observation: MemberObservation]> {
        const reports = [...update.reports, ...this.repeated(update)];
        update.reports.forEach(report => this.slots.set(report.slot, report));
        return reports.flatMap(report => {
            const observedAtMs = this.observedAtMs(update.sentAtMs, report.ageMs, nowMs);
            const observation = observedAtMs === undefined ? undefined : toObservation(report, observedAtMs);
            return observation ? [[report.vm, observation] as [string, MemberObservation]] : [];
        });
    }

    private observedAtMs(sentAtMs: number, ageMs: number, nowMs: number): number | undefined {
        const earliestMs = this.bound.earliest(sentAtMs - ageMs);
        return earliestMs === undefined ? undefined : Math.min(earliestMs, nowMs - ageMs);
    }

    private repeated(update: EvidenceUpdate): MemberReportMessage[] {
        return update.repeatedSlots.flatMap((slot, index) => {
            const known = this.slots.get(slot);
            return known === undefined ? [] : [{
                ...known,
                ageMs: update.repeatedAgesMs[index] ?? Infinity,
                runningRequests: update.repeatedRunningRequests[index] ?? 0,
                waitingRequests: update.repeatedWaitingRequests[index] ?? 0,
            }];
        });
    }
}

function toObservation(message: MemberReportMessage, observedAtMs: number): MemberObservation | undefined {
    if (!message.reachable) {
        return { kind: "unreachable", vm: message.vm, observedAtMs };
    }
    const { vm, bootId, group, modelVersion, rank, runningRequests, waitingRequests } = message;
    const phase = PHASES[message.phase];
    if (!phase) {
        return undefined;
    }
    const epoch = Number(message.epoch);
    return {
        kind: "reported",
        report: { vm, bootId, group, epoch, modelVersion, rank, phase, runningRequests, waitingRequests },
        observedAtMs,
    };
}

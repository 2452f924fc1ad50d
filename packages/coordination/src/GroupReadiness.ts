import type { VmRecord } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { GroupEvidence } from "./GroupEvidence.js";
import type { MemberObservation } from "./MemberObservation.js";
import type { MemberReport } from "./MemberReport.js";
import { engineUrl } from "./util/engineUrl.js";

interface GroupReadinessOptions {
    /** Age at which an observation stops being evidence. */
    ttlMs: number;
    vm: (name: string) => VmRecord | undefined;
    observation: (vm: string) => MemberObservation | undefined;
}

type LedgerGroup = ZoneLedger["groups"][string];

/** Decides whether all members of a group are present exactly as the ledger claims them. */
export class GroupReadiness {
    private constructor(private readonly options: GroupReadinessOptions) {}

    /** Creates an instance that reads the given VMs and observations. */
    static create(options: GroupReadinessOptions): GroupReadiness {
        return new GroupReadiness(options);
    }

    /** Returns evidence that is valid at `nowMs`, or undefined if it is missing for any member. */
    evaluate(ledger: ZoneLedger, group: string, nowMs: number): GroupEvidence | undefined {
        const claimed = ledger.groups[group];
        const headVm = claimed?.members[0];
        const headRecord = headVm === undefined ? undefined : this.options.vm(headVm);
        if (!claimed || headVm === undefined || !headRecord) {
            return undefined;
        }
        const reports: MemberReport[] = [];
        let observedAtMs = Infinity;
        for (const [rank, vm] of claimed.members.entries()) {
            const observation = this.options.observation(vm);
            if (observation?.kind !== "reported" || !matchesLedger(ledger, claimed, group, rank, observation.report)) {
                return undefined;
            }
            reports.push(observation.report);
            observedAtMs = Math.min(observedAtMs, observation.observedAtMs);
        }
        const freshUntilMs = observedAtMs + this.options.ttlMs;
        return freshUntilMs <= nowMs ? undefined : {
            group,
            epoch: claimed.epoch,
            modelVersion: claimed.modelVersion,
            headVm,
            headUrl: engineUrl(headRecord),
            bootIds: reports.map(report => report.bootId),
            reportedLoad: reports[0]?.runningRequests ?? 0,
            freshUntilMs,
        };
    }
}

/** Returns true if the claim is held and the member's report agrees exactly with the ledger. */
function matchesLedger(
    ledger: ZoneLedger,
    claimed: LedgerGroup,
    group: string,
    rank: number,
    report: MemberReport,
): boolean {
    const claim = ledger.claims[report.vm];
    return claim?.state === "held"
        && claim.group === group
        && claim.epoch === claimed.epoch
        && claim.rank === rank
        && report.phase === "ready"
        && report.group === group
        && report.epoch === claimed.epoch
        && report.modelVersion === claimed.modelVersion
        && report.rank === rank;
}

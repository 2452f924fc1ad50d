import type { ConfigurationView, EvidenceView, GroupEvidence } from "@fescuehaven/coordination";
import type { Upstream } from "../limits/Upstream.js";
import type { MaintenanceState } from "./MaintenanceState.js";
import type { OpenGroup } from "./OpenGroup.js";

interface GroupAccessOptions {
    configuration: ConfigurationView;
    evidence: EvidenceView;
    maintenance: MaintenanceState;
    /** This router's availability zone. */
    zone: string;
}

/** Says which serving groups of the own availability zone may take a request right now. */
export class GroupAccess {
    private constructor(private readonly options: GroupAccessOptions) {}

    /** Creates the access check. */
    static create(options: GroupAccessOptions): GroupAccess {
        return new GroupAccess(options);
    }

    /** Groups that serve the model version and may take requests. */
    listOpen(modelVersion: string): OpenGroup[] {
        return this.options.evidence.readyGroups()
            .filter(evidence => evidence.modelVersion === modelVersion)
            .map(evidence => this.open(evidence))
            .filter(group => group !== undefined);
    }

    /** The group if it may take a request right now. Call it right before each dispatch. */
    check(group: string, modelVersion: string): OpenGroup | undefined {
        const evidence = this.options.evidence.ready(group);
        return evidence?.modelVersion === modelVersion ? this.open(evidence) : undefined;
    }

    private open(evidence: GroupEvidence): OpenGroup | undefined {
        const { configuration, maintenance, zone } = this.options;
        const definition = configuration.get("serving-group", evidence.group)?.value;
        if (!definition || definition.zone !== zone || maintenance.isZoneOut(zone) || !this.isClaimed(evidence)) {
            return undefined;
        }
        const upstream: Upstream = {
            name: evidence.group,
            identity: `${evidence.epoch} ${evidence.bootIds.join(" ")}`,
            warmLimit: definition.maxConcurrentRequests,
            coldLimit: Math.min(definition.coldConcurrentRequests, definition.maxConcurrentRequests),
        };
        return { evidence, upstream };
    }

    /** True when the ledger holds every member for this very epoch and none is to be released. */
    private isClaimed(evidence: GroupEvidence): boolean {
        const ledger = this.options.configuration.get("zone-ledger", this.options.zone)?.value;
        const claimed = ledger?.groups[evidence.group];
        if (!ledger || claimed?.epoch !== evidence.epoch) {
            return false;
        }
        return claimed.members.every(vm =>
            ledger.claims[vm]?.group === evidence.group
            && ledger.claims[vm].state === "held"
            && !this.options.maintenance.isVmOut(vm)
        );
    }
}

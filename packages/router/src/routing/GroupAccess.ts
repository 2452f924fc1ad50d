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

/** Determines which serving groups of this router's availability zone may currently receive requests. */
export class GroupAccess {
    private constructor(private readonly options: GroupAccessOptions) {}

    /** Creates the access check. */
    static create(options: GroupAccessOptions): GroupAccess {
        return new GroupAccess(options);
    }

    /** Returns the groups that serve the model version and may receive requests. */
    listOpen(modelVersion: string): OpenGroup[] {
        return this.options.evidence.readyGroups()
            .filter(evidence => evidence.modelVersion === modelVersion)
            .map(evidence => this.open(evidence))
            .filter(group => group !== undefined);
    }

    /** Returns the group if it may currently receive requests. Call it right before each dispatch. */
    findOpen(group: string, modelVersion: string): OpenGroup | undefined {
        const evidence = this.options.evidence.ready(group);
        return evidence?.modelVersion === modelVersion ? this.open(evidence) : undefined;
    }

    private open(evidence: GroupEvidence): OpenGroup | undefined {
        const { configuration, maintenance, zone } = this.options;
        const definition = configuration.get("serving-group", evidence.group)?.value;
        if (
            !definition || definition.zone !== zone || maintenance.isZoneOutOfService(zone) || !this.isClaimed(evidence)
        ) {
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

    /** Returns true when the ledger claims every member for this epoch and none is being released or out of service. */
    private isClaimed(evidence: GroupEvidence): boolean {
        const ledger = this.options.configuration.get("zone-ledger", this.options.zone)?.value;
        const claimed = ledger?.groups[evidence.group];
        if (!ledger || claimed?.epoch !== evidence.epoch) {
            return false;
        }
        return claimed.members.every(vm =>
            ledger.claims[vm]?.group === evidence.group
            && ledger.claims[vm].state === "held"
            && !this.options.maintenance.isVmOutOfService(vm)
        );
    }
}

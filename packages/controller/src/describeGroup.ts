import type { StoredObject } from "@fescuehaven/platform";
import type { GroupStatus, ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import type { GroupState } from "./GroupState.js";
import type { VmSnapshot } from "./VmSnapshot.js";
import type { ZoneFleet } from "./ZoneFleet.js";

/** Input of `describeGroup`. */
interface GroupContext {
    ledger: ZoneLedger;
    fleet: ZoneFleet;
    group: string;
    /** The operators' serving-group object; undefined once it has been removed. */
    spec: StoredObject<ServingGroup> | undefined;
    /** Whether the model version that the spec names is known. */
    hasModelVersion: boolean;
    isServing: boolean;
    /** Whether the group has been in service at its current epoch before. */
    wasServing: boolean;
    /** Whether a maintenance intent takes the availability zone out of service. */
    isZoneOutOfService: boolean;
}

type Finding = Pick<GroupStatus, "phase" | "reason" | "message">;

type Entry = ZoneLedger["groups"][string];

/** Derives the state that a group's status shows. */
export function describeGroup(context: GroupContext): GroupState {
    const entry = context.ledger.groups[context.group];
    return {
        ...findPhase(context, entry),
        epoch: entry?.epoch ?? 0,
        members: entry?.members ?? [],
        modelVersion: entry?.modelVersion ?? context.spec?.value.modelVersion ?? "",
        observedRevision: context.spec?.revision ?? 0,
    };
}

function findPhase(context: GroupContext, entry: Entry | undefined): Finding {
    if (!entry) {
        return describeUnclaimed(context);
    }
    if (!context.spec) {
        return finding("draining", "deleted", "The serving group was removed; its VMs are being released.");
    }
    if (context.isServing) {
        return describeServing(context, entry, context.spec.value);
    }
    return describeClosed(context, entry, context.spec.value);
}

function describeUnclaimed(context: GroupContext): Finding {
    if (!context.spec) {
        return finding("out-of-service", "deleted", "The serving group was removed and holds no VM.");
    }
    if (!context.hasModelVersion) {
        const { modelVersion } = context.spec.value;
        return finding("pending", "model-version-missing", `There is no model version ${modelVersion}.`);
    }
    return finding("pending", "no-room", `Too few free VMs for ${context.spec.value.memberCount} members.`);
}

function describeServing(context: GroupContext, entry: Entry, spec: ServingGroup): Finding {
    if (context.isZoneOutOfService) {
        return finding("out-of-service", "maintenance-intent", "The availability zone is out; members stay loaded.");
    }
    if (entry.modelVersion !== spec.modelVersion) {
        return finding("ready", "roll-out", `Serves ${entry.modelVersion} until ${spec.modelVersion} can be loaded.`);
    }
    if (entry.fabricDomain.includes("+")) {
        return finding("ready", "spans-domains", `All members present, across fabric domains ${entry.fabricDomain}.`);
    }
    return finding("ready", "all-present", "All members present.");
}

function describeClosed(context: GroupContext, entry: Entry, spec: ServingGroup): Finding {
    const members = entry.members.map(vm => context.fleet.get(vm));
    const unresponsive = members.find(snapshot => snapshot.name !== "" && snapshot.unresponsive);
    if (unresponsive) {
        return finding(
            "broken",
            "member-lost",
            `Member ${unresponsive.name} does not answer and no spare has taken its place.`,
        );
    }
    const departing = members.find(snapshot => snapshot.departure);
    if (entry.members.includes("")) {
        return finding("broken", "no-spare", "A member has left and no spare has taken its place.");
    }
    if (members.some(snapshot => context.ledger.claims[snapshot.name]?.state === "releasing")) {
        const reason = departing?.departure ?? (entry.modelVersion === spec.modelVersion ? "re-forming" : "roll-out");
        return finding("draining", reason, "Takes no requests; those in progress end first.");
    }
    if (context.wasServing) {
        const absentMember = members.find(snapshot => !isPresent(snapshot, context.group, entry.epoch));
        return finding(
            "broken",
            absenceReasonOf(absentMember),
            `Member ${absentMember?.name ?? "unknown"} is not present.`,
        );
    }
    return finding("loading", "members-loading", "Members load the model version.");
}

function isPresent(snapshot: VmSnapshot, group: string, epoch: number): boolean {
    return snapshot.report?.group === group && snapshot.report.epoch === epoch && snapshot.report.phase === "ready";
}

function absenceReasonOf(snapshot: VmSnapshot | undefined): string {
    if (!snapshot?.report) {
        return "member-unreachable";
    }
    return snapshot.report.phase === "empty" || snapshot.report.phase === "loading"
        ? "member-restarted"
        : "member-stale";
}

function finding(phase: Finding["phase"], reason: string, message: string): Finding {
    return { phase, reason, message };
}

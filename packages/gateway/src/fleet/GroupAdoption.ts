import type { Upstream } from "../model/Upstream.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import type { FleetState } from "./FleetState.js";
import type { GroupMonitor } from "./GroupMonitor.js";
import { groupSuffix } from "./groupSuffix.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { ObservedGroup } from "./ObservedGroup.js";
import type { ServiceView } from "./ServiceView.js";
import { standbyGroups } from "./standbyGroups.js";

/** Takes over groups that an earlier controller formed. */
export class GroupAdoption {
    private constructor(
        private readonly options: FleetControllerOptions,
        private readonly state: FleetState,
        private readonly monitor: GroupMonitor,
    ) {}

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
        state: FleetState,
        monitor: GroupMonitor,
    ): GroupAdoption {
        return new GroupAdoption(options, state, monitor);
    }

    /** Takes over groups that an earlier controller formed, as their members' registrations show them. */
    adoptGroups(view: ServiceView): void {
        for (const group of view.observed.values()) {
            const head = group.members.get(0);
            const known = this.state.groups.get(group.name);
            if (known?.epoch === group.epoch) {
                this.addReturnedMembers(known, group);
            }
            if (standbyGroups.isStandby(group.name) || (known && known.epoch >= group.epoch)) {
                continue;
            }
            const anyMember = head ?? [...group.members.values()][0];
            const model = view.engine.models.find(item => item.name === anyMember?.model)
                ?? view.engine.models.find(item => group.name.endsWith(groupSuffix(item)));
            if (!anyMember || !model) {
                continue;
            }
            const members = membersByRank(group);
            const isDissolved = group.epoch <= (this.state.dissolvedEpochs.get(group.name) ?? 0);
            if (isDissolved && members.length < model.memberCount) {
                // Its other members have left; the remaining ones are released once they respond.
                continue;
            }
            const adopted: ManagedGroup = {
                name: group.name,
                service: view.service,
                domain: anyMember.domain,
                model,
                epoch: group.epoch,
                members,
                isHeadMissing: head === undefined,
                isAwaitingMembers: members.length < model.memberCount,
                phase: adoptedPhase(head),
                phaseSinceMs: this.state.nowMs(),
                checkedAtMs: 0,
                isChecking: false,
            };
            this.options.log.info("group adopted", {
                group: group.name,
                epoch: group.epoch,
                members: members.length,
                of: model.memberCount,
                phase: head?.group?.phase,
            });
            this.state.groups.set(group.name, adopted);
            this.examineAdopted(view, adopted);
        }
    }

    /** Handles an adopted group that was reported lost. Its requests may end first, as under the earlier controller. */
    private examineAdopted(view: ServiceView, adopted: ManagedGroup): void {
        if (adopted.phase === "open" && this.options.isLost(adopted.epoch)) {
            this.monitor.suspectGroup(view, adopted, "the group was reported lost before and is back", new Set(), []);
        }
    }

    /** Adds members of a group's own epoch that have registered since it was adopted. */
    private addReturnedMembers(group: ManagedGroup, observed: ObservedGroup): void {
        const isIncomplete = group.phase === "incomplete";
        const members = membersByRank(observed).filter(member => !isIncomplete || this.state.health.isUsable(member));
        if (!(group.isAwaitingMembers || isIncomplete) || members.length <= group.members.length) {
            return;
        }
        const wasHeadMissing = group.isHeadMissing;
        group.members = members;
        group.isHeadMissing = !observed.members.has(0);
        group.isAwaitingMembers = group.members.length < group.model.memberCount;
        this.options.log.info("group members registered again", {
            group: group.name,
            epoch: group.epoch,
            members: group.members.length,
            of: group.model.memberCount,
        });
        if (group.phase === "closing" && wasHeadMissing && !group.isHeadMissing) {
            this.state.setPhase(group, adoptedPhase(observed.members.get(0)));
        }
    }
}

function membersByRank({ members }: ObservedGroup): Upstream[] {
    return [...members].sort(([left], [right]) => left - right).map(([, member]) => member);
}

/** Returns the phase of an adopted group. Without a head it accepts no requests, but may have some in flight. */
function adoptedPhase(head: Upstream | undefined): ManagedGroup["phase"] {
    if (!head || head.group?.phase === "closing") {
        return "closing";
    }
    return head.group?.phase === "open" || head.group?.phase === "broken" ? "open" : "joining";
}

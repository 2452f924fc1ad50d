import type { Upstream } from "../model/Upstream.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import type { FleetState } from "./FleetState.js";
import type { FormerHead } from "./FormerHead.js";
import { headOf } from "./headOf.js";
import { idsOf } from "./idsOf.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { ObservedGroup } from "./ObservedGroup.js";
import { observeGroups } from "./observeGroups.js";
import type { ServiceView } from "./ServiceView.js";
import { standbyGroups } from "./standbyGroups.js";

const FIRST_TERM = 1;

/** Gives up groups and frees upstreams, which join no other group while a head may still serve with them. */
export class GroupRelease {
    /** Members of dissolved groups that are ordered to leave once their head has answered, by instance. */
    private readonly releasing = new Set<string>();

    private constructor(
        private readonly options: FleetControllerOptions,
        private readonly state: FleetState,
    ) {}

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
        state: FleetState,
    ): GroupRelease {
        return new GroupRelease(options, state);
    }

    /** Returns the heads of a group's earlier epochs that may still serve with its members. */
    waitingHeads({ formerHeads = [] }: ManagedGroup): FormerHead[] {
        return formerHeads.filter(({ untilMs, hasLeft }) => this.state.nowMs() < untilMs && !hasLeft());
    }

    /**
     * Keeps replaced members from joining another group while the head may still serve with them: until the head has
     * accepted its own order, or must have given the group up.
     */
    quarantineReplaced(group: ManagedGroup, members: readonly Upstream[]): FormerHead {
        const untilMs = this.state.headsWaitUntilMs(this.state.nowMs());
        const kept = idsOf(members);
        const { epoch } = group;
        const head = headOf(group);
        const hasLeft = () => {
            const current = this.options.upstreams.get(head?.id ?? "");
            return current !== undefined
                && (current.startedAtMs !== head?.startedAtMs || current.group?.epoch !== epoch);
        };
        group.members.filter(member => member !== head && !kept.has(member.id)).forEach(member =>
            this.state.health.quarantine(member, untilMs, hasLeft)
        );
        return { untilMs, hasLeft };
    }

    /** Keeps an upstream from joining another group that an earlier controller may have replaced, with an unknown head. */
    private quarantineUnknown(upstream: Upstream): void {
        const untilMs = this.state.headsWaitUntilMs(this.state.nowMs());
        this.state.health.quarantine(upstream, untilMs, () => false);
    }

    /**
     * Quarantines upstreams without a group that an earlier controller may have replaced or released: the head of the group
     * that they have left may still wait for them, and may have no registration. Nothing is left to wait for once each head
     * must have given up the groups of the earlier controller. Before the first term, there was none.
     */
    quarantineReplacedBefore(): void {
        const untilMs = this.state.headsWaitUntilMs(this.state.termSinceMs);
        if (this.state.term === FIRST_TERM || this.state.nowMs() >= untilMs) {
            return;
        }
        for (const upstream of this.options.upstreams.all()) {
            if (!upstream.group && upstream.stagedModels.length > 0 && !this.state.health.hasQuarantine(upstream)) {
                this.state.health.quarantine(upstream, untilMs, () => false);
            }
        }
    }

    /** Gives up a group whose domain has too few VMs, and frees its members. */
    dissolve(group: ManagedGroup): void {
        this.options.log.info("group dissolved", { group: group.name, epoch: group.epoch });
        this.state.groups.delete(group.name);
        this.state.dissolvedEpochs.set(group.name, group.epoch);
        const observed = observeGroups(this.options.upstreams.all()).get(group.name);
        if (observed) {
            void this.releaseMembers(observed, () => this.waitingHeads(group).length > 0);
        }
    }

    /**
     * Orders all members to leave a group, the head first. They stay quarantined until the head and those of earlier epochs
     * have left or must have given the group up.
     */
    private async releaseMembers(
        { name, epoch, members }: ObservedGroup,
        isFormerHeadWaiting: () => boolean,
    ): Promise<void> {
        const { orders } = this.options;
        const head = members.get(0);
        const others = [...members.values()].filter(member => member !== head);
        const otherKeys = others.map(instanceKeyOf);
        const untilMs = this.state.headsWaitUntilMs(this.state.nowMs());
        let hasLeft = false;
        const hasHeadLeft = () => hasLeft || (head !== undefined && this.state.health.hasEnded(head));
        others.forEach(member =>
            this.state.health.quarantine(member, untilMs, () => hasHeadLeft() && !isFormerHeadWaiting())
        );
        if (head) {
            this.state.health.quarantine(head, untilMs, () => !isFormerHeadWaiting());
        }
        otherKeys.forEach(key => this.releasing.add(key));
        const leave = { kind: "leave", group: name, epoch } as const;
        hasLeft = head !== undefined && this.state.health.isUsable(head)
            && await orders.send(head, leave) === "completed";
        await Promise.all(
            others.filter(item => this.state.health.isUsable(item)).map(member => orders.send(member, leave)),
        );
        otherKeys.forEach(key => this.releasing.delete(key));
    }

    /** Orders upstreams to leave groups of which the controller does not regard them as members. */
    releaseNonMembers(view: ServiceView): void {
        for (const upstream of view.upstreams) {
            const { group } = upstream;
            const isBeingReleased = this.releasing.has(instanceKeyOf(upstream)) || this.options.orders.isBusy(upstream);
            if (!group || standbyGroups.isStandby(group.name) || isBeingReleased) {
                continue;
            }
            const managed = this.state.groups.get(group.name);
            const belongs = managed?.members.some(member => member.id === upstream.id);
            if (belongs || !this.state.health.isUsable(upstream)) {
                continue;
            }
            if (group.rank !== 0 && !this.state.health.hasQuarantine(upstream)) {
                this.quarantineUnknown(upstream);
            }
            this.options.log.info("upstream released", {
                upstream: upstream.id,
                group: group.name,
                epoch: group.epoch,
                currentEpoch: managed?.epoch,
            });
            void this.options.orders.send(upstream, { kind: "leave", group: group.name, epoch: group.epoch });
        }
    }
}

import { groupBy } from "../util/groupBy.js";

/** A registered gateway. */
interface Member {
    vm: string;
    zone: string;
}

/** Zones with at least this many gateways pass what they say through hubs; below, a full mesh costs less. */
const HUBS_FROM = 4;
/** Hubs of a zone: one that works, and one that takes over. */
const HUBS = 2;

/** Candidates for the control that are not hubs come after them: a whole zone would write at once. */
const RANK_OF_OTHERS = 10;

/**
 * Decides which gateways follow each other. In small fleets each one follows all others. In larger ones the first
 * gateways of a zone are its hubs: they follow their whole zone and the hubs of other zones, the others only them.
 */
export class Topology {
    private constructor(private readonly vm: string, private readonly zone: string) {}

    /** Creates the topology as one gateway sees it. */
    static create(vm: string, zone: string): Topology {
        return new Topology(vm, zone);
    }

    /** True if gateways pass what they say through hubs. */
    hasHubs(members: readonly Member[]): boolean {
        const sizes = new Map<string, number>();
        members.forEach(({ zone }) => sizes.set(zone, (sizes.get(zone) ?? 0) + 1));
        return [...sizes.values()].some(size => size >= HUBS_FROM);
    }

    /** The hubs of a zone, the working one first. Gateways that fell silent here are passed over. */
    hubsOf(zone: string, members: readonly Member[], isSilent: (vm: string) => boolean): string[] {
        const names = members.filter(member => member.zone === zone && !isSilent(member.vm)).map(member => member.vm);
        return names.sort().slice(0, HUBS);
    }

    /** The hubs of every zone; none if gateways do not speak through hubs. */
    hubs(members: readonly Member[], isSilent: (vm: string) => boolean): Map<string, string[]> {
        const zones = this.hasHubs(members) ? new Set(members.map(member => member.zone)) : [];
        return new Map([...zones].map(zone => [zone, this.hubsOf(zone, members, isSilent)]));
    }

    /** True if this gateway is a hub of its zone. */
    isHub(members: readonly Member[], isSilent: (vm: string) => boolean): boolean {
        return this.hasHubs(members) && this.hubsOf(this.zone, members, isSilent).includes(this.vm);
    }

    /**
     * Place of this gateway among those that may take the control, 0 first. Zones with more gateways come first: where
     * there is only one, its loss already leaves the zone's callers without any. Then hubs, then by name.
     */
    candidateRank(members: readonly Member[], isInTouch: (vm: string) => boolean): number {
        const sizes = groupBy(members, member => member.zone);
        const sizeOf = (zone: string) => sizes.get(zone)?.length ?? 0;
        const ownSize = Math.max(1, sizeOf(this.zone));
        const rank = members.filter(({ vm, zone }) =>
            vm !== this.vm && isInTouch(vm)
            && (sizeOf(zone) > ownSize || (sizeOf(zone) === ownSize && vm < this.vm))
        ).length;
        return this.hasHubs(members) && !this.isHub(members, () => false) ? rank + RANK_OF_OTHERS : rank;
    }

    /** Gateways that this one follows. */
    followed(members: readonly Member[], isSilent: (vm: string) => boolean): Set<string> {
        const all = members.map(member => member.vm).filter(vm => vm !== this.vm);
        if (!this.hasHubs(members)) {
            return new Set(all);
        }
        const zones = new Set(members.map(member => member.zone));
        const ownHubs = this.hubsOf(this.zone, members, isSilent);
        if (!ownHubs.includes(this.vm)) {
            return new Set(ownHubs);
        }
        const ownZone = members.filter(member => member.zone === this.zone).map(member => member.vm);
        const otherHubs = [...zones].filter(zone => zone !== this.zone).flatMap(zone =>
            this.hubsOf(zone, members, isSilent)
        );
        return new Set([...ownZone, ...otherHubs].filter(vm => vm !== this.vm));
    }
}

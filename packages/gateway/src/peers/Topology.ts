import { groupBy } from "../util/groupBy.js";

/** A registered gateway. */
interface GatewayNode {
    vm: string;
    zone: string;
    /** Processor time of its VM, in cores; undefined if its build does not state it. */
    processorCores?: number;
}

/** Gateways use hubs if any zone has at least this many gateways; with fewer, a full mesh costs less. */
const MIN_GATEWAYS_FOR_HUBS = 4;
/** Hubs of a zone: the active one, and one that takes over. */
const HUBS_PER_ZONE = 2;

/** Candidates for the controller's lease that are not hubs come after hubs: a whole zone would write at once. */
const NON_HUB_RANK_OFFSET = 10;

/**
 * Decides which gateways follow each other. In small fleets each one follows all others. In larger fleets, the gateways of
 * a zone with the most processor time are its hubs: they follow their whole zone and the hubs of other zones, and the
 * other gateways follow only the hubs of their zone.
 */
export class Topology {
    private constructor(private readonly vm: string, private readonly zone: string) {}

    /** Creates the topology from the point of view of one gateway. */
    static create(vm: string, zone: string): Topology {
        return new Topology(vm, zone);
    }

    /** Returns true if gateways exchange their state through hubs. */
    hasHubs(gateways: readonly GatewayNode[]): boolean {
        const sizes = new Map<string, number>();
        gateways.forEach(({ zone }) => sizes.set(zone, (sizes.get(zone) ?? 0) + 1));
        return [...sizes.values()].some(size => size >= MIN_GATEWAYS_FOR_HUBS);
    }

    /** Returns the hubs of a zone, the active one first. Gateways that are silent towards this one are skipped. */
    hubsOf(zone: string, gateways: readonly GatewayNode[], isSilent: (vm: string) => boolean): string[] {
        const ofZone = gateways.filter(gateway => gateway.zone === zone);
        const names = ofZone.sort(orderOf(ofZone)).map(({ vm }) => vm);
        return names.filter(vm => !isSilent(vm)).slice(0, HUBS_PER_ZONE);
    }

    /** Returns the hubs of every zone; empty if gateways do not use hubs. */
    hubs(gateways: readonly GatewayNode[], isSilent: (vm: string) => boolean): Map<string, string[]> {
        const zones = this.hasHubs(gateways) ? new Set(gateways.map(gateway => gateway.zone)) : [];
        return new Map([...zones].map(zone => [zone, this.hubsOf(zone, gateways, isSilent)]));
    }

    /** Returns true if this gateway is a hub of its zone. */
    isHub(gateways: readonly GatewayNode[], isSilent: (vm: string) => boolean): boolean {
        return this.hasHubs(gateways) && this.hubsOf(this.zone, gateways, isSilent).includes(this.vm);
    }

    /**
     * Returns the rank of this gateway among the candidates for the controller's lease; 0 is first. Where there are
     * hubs, they come before other gateways. Zones with more gateways come first, since the loss of a zone's only
     * gateway already leaves its callers without any; gateways of equally large zones are in the order of hubs.
     */
    candidateRank(gateways: readonly GatewayNode[], isConnected: (vm: string) => boolean): number {
        const sizes = groupBy(gateways, gateway => gateway.zone);
        const sizeOf = (zone: string) => sizes.get(zone)?.length ?? 0;
        const ownSize = Math.max(1, sizeOf(this.zone));
        const order = orderOf(gateways);
        const own = gateways.find(({ vm }) => vm === this.vm) ?? { vm: this.vm, zone: this.zone };
        const rank = gateways.filter(gateway =>
            gateway.vm !== this.vm && isConnected(gateway.vm)
            && (sizeOf(gateway.zone) > ownSize || (sizeOf(gateway.zone) === ownSize && order(gateway, own) < 0))
        ).length;
        return this.hasHubs(gateways) && !this.isHub(gateways, () => false) ? rank + NON_HUB_RANK_OFFSET : rank;
    }

    /** Returns the gateways that this one follows. */
    followed(gateways: readonly GatewayNode[], isSilent: (vm: string) => boolean): Set<string> {
        const all = gateways.map(gateway => gateway.vm).filter(vm => vm !== this.vm);
        if (!this.hasHubs(gateways)) {
            return new Set(all);
        }
        const zones = new Set(gateways.map(gateway => gateway.zone));
        const ownHubs = this.hubsOf(this.zone, gateways, isSilent);
        if (!ownHubs.includes(this.vm)) {
            return new Set(ownHubs);
        }
        const ownZone = gateways.filter(gateway => gateway.zone === this.zone).map(gateway => gateway.vm);
        const otherHubs = [...zones].filter(zone => zone !== this.zone).flatMap(zone =>
            this.hubsOf(zone, gateways, isSilent)
        );
        return new Set([...ownZone, ...otherHubs].filter(vm => vm !== this.vm));
    }
}

/**
 * Returns the order of gateways by processor time, then by name. Builds that state no processor time order by name: while
 * there is one, all gateways do, so that they agree on their hubs.
 */
function orderOf(gateways: readonly GatewayNode[]): (left: GatewayNode, right: GatewayNode) => number {
    const isStated = gateways.every(({ processorCores }) => processorCores !== undefined);
    return (left, right) =>
        (isStated ? (right.processorCores ?? 0) - (left.processorCores ?? 0) : 0) || (left.vm < right.vm ? -1 : 1);
}

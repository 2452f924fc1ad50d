import type { VmView } from "@fescuehaven/coordination";
import type { ConcurrencyShare } from "../ports/ConcurrencyShare.js";
import { hash32 } from "../util/hash32.js";

interface StaticShareOptions {
    vms: VmView;
    /** Availability zone whose entry VMs share the upstreams. */
    zone: string;
    /** IP address of this router's VM, as the platform's list shows it. */
    address: string;
    /** Most routers that operators run in the zone at once, replacements under way included. */
    plannedRouters: number;
}

/**
 * A fixed part of each limit for every router of the zone. It needs no exchange between routers, so it holds while they
 * cannot see each other. What does not divide evenly goes to other routers from one upstream to the next.
 */
export class StaticShare implements ConcurrencyShare {
    private seenVersion = -1;
    private routerCount = 0;
    private position = -1;

    private constructor(private readonly options: StaticShareOptions) {}

    /** Creates the share. */
    static create(options: StaticShareOptions): StaticShare {
        return new StaticShare(options);
    }

    /** Calls that this router may have in progress at the upstream while its whole limit is `limit`. */
    allowed(upstream: string, limit: number): number {
        this.refresh();
        const isListed = this.position >= 0;
        const divisor = Math.max(this.routerCount + (isListed ? 0 : 1), this.options.plannedRouters);
        const base = Math.floor(limit / divisor);
        return isListed ? base + this.partOfRemainder(upstream, limit - base * divisor) : base;
    }

    private partOfRemainder(upstream: string, remainder: number): number {
        const turn = (this.position + hash32(upstream)) % this.routerCount;
        const extra = turn < remainder % this.routerCount ? 1 : 0;
        return Math.floor(remainder / this.routerCount) + extra;
    }

    private refresh(): void {
        if (this.seenVersion === this.options.vms.version) {
            return;
        }
        this.seenVersion = this.options.vms.version;
        const routers = this.options.vms.list()
            .filter(vm => vm.role === "entry" && vm.zone === this.options.zone)
            .sort((a, b) => (a.name < b.name ? -1 : 1));
        this.routerCount = routers.length;
        this.position = routers.findIndex(vm => vm.address === this.options.address);
    }
}

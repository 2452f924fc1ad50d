import { equalShare, type VmView } from "@fescuehaven/coordination";
import type { ConcurrencyShare } from "../ports/ConcurrencyShare.js";
import { hash32 } from "../util/hash32.js";

interface StaticShareOptions {
    vms: VmView;
    /** Availability zone whose entry VMs use the upstreams. */
    zone: string;
    /** IP address of this router's VM in the platform's VM list. */
    address: string;
    /** Most routers that run in the zone at once, including replacements that are starting. */
    plannedRouters: number;
}

/**
 * Gives every router of the zone a fixed part of each limit. Routers exchange nothing for it, so it holds while they
 * cannot reach each other. The remainder of the division goes to different routers for different upstreams.
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

    /** Returns how many calls this router may have in progress at an upstream whose total limit is `limit`. */
    allowed(upstream: string, limit: number): number {
        this.refresh();
        const isListed = this.position >= 0;
        const divisor = Math.max(this.routerCount + (isListed ? 0 : 1), this.options.plannedRouters);
        const base = Math.floor(limit / divisor);
        const remainder = limit - base * divisor;
        return isListed ? base + equalShare(remainder, this.routerCount, this.position + hash32(upstream)) : base;
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

import type { VmRecord } from "@fescuehaven/platform";

/** The platform's lagging list of VMs as this process last read it. Reads are synchronous and cheap. */
export interface VmView {
    /** Changes whenever the list changes; starts at 0, before the first list. */
    readonly version: number;

    /** All VMs, by name. */
    list(): readonly VmRecord[];

    /** One VM, or undefined. */
    get(name: string): VmRecord | undefined;
}

import type { VmRecord } from "@fescuehaven/platform";

/** The platform's list of VMs as last read by this process; it may lag. Reads are synchronous and cheap. */
export interface VmView {
    /** Changes whenever the list changes; starts at 0, before the first list. */
    readonly version: number;

    /** Returns all VMs, sorted by name. */
    list(): readonly VmRecord[];

    /** Returns the VM with the given name, or undefined. */
    get(name: string): VmRecord | undefined;
}

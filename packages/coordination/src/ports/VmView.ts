import type { VmRecord } from "@fescuehaven/platform";

/** The platform's list of VMs as this process last read it. */
export interface VmView {
    /** Changes with every adopted list; 0 before the first. */
    readonly version: number;

    /** Every VM, leaving ones included. */
    list(): readonly VmRecord[];

    /** One VM by name. */
    get(name: string): VmRecord | undefined;
}

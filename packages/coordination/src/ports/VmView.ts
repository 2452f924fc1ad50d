import type { VmRecord } from "@fescuehaven/platform";

/** The platform's list of VMs as this process last read it. It lags. */
export interface VmView {
    /** All VMs. */
    list(): readonly VmRecord[];

    /** One VM, or undefined when the list does not hold it. */
    get(name: string): VmRecord | undefined;

    /** Changes with every change of the list; 0 before the first. */
    readonly version: number;
}

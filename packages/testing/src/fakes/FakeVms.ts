import type { VmView } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";

/** The platform's list of VMs, set by a test. */
export class FakeVms implements VmView {
    /** Grows by one with every change. */
    version = 0;

    private readonly records = new Map<string, VmRecord>();

    private constructor() {}

    /** Creates an empty list. */
    static create(): FakeVms {
        return new FakeVms();
    }

    /** Adds or replaces a VM. */
    put(record: VmRecord): void {
        this.records.set(record.name, record);
        this.version += 1;
    }

    /** Removes a VM. */
    remove(name: string): void {
        this.records.delete(name);
        this.version += 1;
    }

    /** Returns all VMs in the order in which they were added. */
    list(): readonly VmRecord[] {
        return [...this.records.values()];
    }

    /** Returns the VM of this name, or undefined if there is none. */
    get(name: string): VmRecord | undefined {
        return this.records.get(name);
    }
}

import type { VmView } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";

/** The platform's list of VMs, as a test sets it. */
export class FakeVms implements VmView {
    /** Changes with every change. */
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

    /** All VMs. */
    list(): readonly VmRecord[] {
        return [...this.records.values()];
    }

    /** One VM. */
    get(name: string): VmRecord | undefined {
        return this.records.get(name);
    }
}

import type { VmRecord } from "@fescuehaven/platform";

/** Base URL of the engine on a VM. */
export function engineUrlOf(record: VmRecord): string {
    const host = record.address.includes(":") ? `[${record.address}]` : record.address;
    return `http://${host}:${record.enginePort}`;
}

import type { VmRecord } from "@fescuehaven/platform";

/** Base URL of the engine on a VM. */
export function engineUrl(vm: VmRecord): string {
    const host = vm.address.includes(":") ? `[${vm.address}]` : vm.address;
    return `http://${host}:${vm.enginePort}`;
}

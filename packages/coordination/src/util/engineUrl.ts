import type { VmRecord } from "@fescuehaven/platform";

/** Returns the base URL of the engine on a VM. */
export function engineUrl(vm: VmRecord): string {
    const host = vm.address.includes(":") ? `[${vm.address}]` : vm.address;
    return `http://${host}:${vm.enginePort}`;
}

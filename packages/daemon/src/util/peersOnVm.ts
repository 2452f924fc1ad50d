import type { Peer } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { DaemonSettings } from "../DaemonSettings.js";

/** Returns the peers on an entry VM from the platform's list. None for VMs that the settings name and for this VM. */
export function peersOnVm(settings: DaemonSettings, vm: VmRecord): Peer[] {
    const { entryVmPorts, peers, peerListen } = settings;
    const isNamed = peers.some(peer => new URL(peer.url).hostname === vm.address);
    if (!entryVmPorts || isNamed || vm.address === peerListen.host) {
        return [];
    }
    return (["router", "controller"] as const).map(role => ({
        name: `${role}@${vm.name}`,
        zone: vm.zone,
        role,
        url: `http://${vm.address}:${entryVmPorts[role]}`,
    }));
}

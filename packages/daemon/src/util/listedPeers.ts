import type { Peer } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { DaemonSettings } from "../DaemonSettings.js";

/** The processes on an entry VM of the platform's list, unless the settings name them or they are this VM's own. */
export function listedPeers(settings: DaemonSettings, vm: VmRecord): Peer[] {
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

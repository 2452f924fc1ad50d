import type { VmRecord } from "@fescuehaven/platform";
import type { Peer } from "./Peer.js";
import type { PeerView } from "./ports/PeerView.js";
import type { VmView } from "./ports/VmView.js";

/** Options of `PeerDirectory`. */
interface PeerDirectoryOptions {
    /** Name of this process, which is left out. */
    process: string;
    /** Peers as the settings name them; they stay. */
    configured: readonly Peer[];
    /** The platform's list, for processes on VMs that came later. */
    vms?: VmView;
    /** The processes that run on an entry VM. */
    peersOf?: (vm: VmRecord) => readonly Peer[];
}

/** Peers from the settings, and from the platform's list of entry VMs as it changes. */
export class PeerDirectory implements PeerView {
    private seenVersion = -1;
    private peers: readonly Peer[] = [];

    private constructor(private readonly options: PeerDirectoryOptions) {}

    /** Creates the directory. */
    static create(options: PeerDirectoryOptions): PeerDirectory {
        return new PeerDirectory(options);
    }

    /** All peers, by name. A peer of the VM list goes before a configured one of the same name. */
    list(): readonly Peer[] {
        const version = this.options.vms?.version ?? 0;
        if (version !== this.seenVersion) {
            this.peers = this.compute();
            this.seenVersion = version;
        }
        return this.peers;
    }

    private compute(): readonly Peer[] {
        const { process, configured, vms, peersOf } = this.options;
        const entryVms = vms?.list().filter(vm => vm.role === "entry") ?? [];
        const listed = peersOf ? entryVms.flatMap(peersOf) : [];
        const byName = new Map([...configured, ...listed].map(peer => [peer.name, peer]));
        byName.delete(process);
        return [...byName.values()].sort((a, b) => a.name < b.name ? -1 : 1);
    }
}

import type { VmRecord } from "@fescuehaven/platform";
import type { Peer } from "./Peer.js";
import type { PeerView } from "./ports/PeerView.js";
import type { VmView } from "./ports/VmView.js";

interface PeerDirectoryOptions {
    /** Name of this process, which is not listed. */
    process: string;
    /** Peers from the settings; they are always listed. */
    configured: readonly Peer[];
    /** The platform's list, for processes on VMs that were added later. */
    vms?: VmView;
    /** Returns the processes that run on an entry VM. */
    peersOf?: (vm: VmRecord) => readonly Peer[];
}

/** Peers from the settings and from the platform's current list of entry VMs. */
export class PeerDirectory implements PeerView {
    private seenVersion = -1;
    private peers: readonly Peer[] = [];

    private constructor(private readonly options: PeerDirectoryOptions) {}

    /** Creates the directory. */
    static create(options: PeerDirectoryOptions): PeerDirectory {
        return new PeerDirectory(options);
    }

    /**
     * Returns all peers, sorted by name. A peer of the VM list takes precedence over a configured one of the same name.
     */
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

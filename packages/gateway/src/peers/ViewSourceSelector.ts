import type { PeerConnections } from "./PeerConnections.js";
import type { ViewSource } from "./ViewSource.js";

interface ViewSourceSelectorOptions {
    /** Name and zone of this VM. */
    vm: string;
    zone: string;
    connections: PeerConnections;
    isController: () => boolean;
    /** Returns the followed peer that says in its state that it is the controller; undefined if there is none. */
    controllerPeer: () => string | undefined;
}

/** A gateway through which the store is read. */
interface Selection {
    peer: string;
    /** Aborts calls in progress when another gateway is selected. */
    replaced: AbortController;
}

/**
 * Selects the gateway whose view of the store is read instead of the store, so that calls to the store do not grow with
 * the number of gateways: only the controller reads the store, the active hubs read the controller's view, and other
 * gateways that of their zone's active hub. Each turns to the store itself while its source is not reachable. No two
 * gateways read each other's view, because one that says that it is the controller reads the store.
 */
export class ViewSourceSelector {
    private selection: Selection | undefined;

    private constructor(private readonly options: ViewSourceSelectorOptions) {}

    /** Creates a selector that has selected no gateway. */
    static create(options: ViewSourceSelectorOptions): ViewSourceSelector {
        return new ViewSourceSelector(options);
    }

    /** Name of the selected gateway; undefined if the store itself must be read. */
    get peer(): string | undefined {
        return this.selection?.peer;
    }

    /** Returns the selected gateway; undefined if the store itself must be read. */
    current(): ViewSource | undefined {
        this.update();
        const source = this.selection && this.options.connections.reachablePeer(this.selection.peer);
        return source && this.selection
            ? { ...source, silent: AbortSignal.any([source.silent, this.selection.replaced.signal]) }
            : undefined;
    }

    /** Selects again, and aborts calls at a gateway that is no longer selected. */
    update(): void {
        const peer = this.choose();
        if (peer === this.selection?.peer) {
            return;
        }
        this.selection?.replaced.abort();
        this.selection = peer === undefined ? undefined : { peer, replaced: new AbortController() };
    }

    private choose(): string | undefined {
        const { vm, zone, connections, isController, controllerPeer } = this.options;
        if (isController()) {
            return undefined;
        }
        const hub = connections.hasHubs ? connections.activeHubOf(zone) : undefined;
        return hub === undefined || hub === vm ? controllerPeer() : hub;
    }
}

import type { Client } from "@connectrpc/connect";
import { JournalService } from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import type { Peer } from "../Peer.js";
import type { PeerClients } from "../ports/PeerClients.js";
import type { PeerView } from "../ports/PeerView.js";
import { rendezvousOrder } from "../util/rendezvousOrder.js";
import { withDeadline } from "../util/withDeadline.js";
import type { OwnerOutcome } from "./OwnerOutcome.js";

/** An owner that did not respond is not called for this long. */
const AVOID_MS = 2000;

interface ShardOwnersOptions {
    /** Name of this process. */
    process: string;
    peers: PeerView;
    clients: PeerClients;
    clock: Clock;
    /** Longest wait for an owner's response. */
    timeoutMs: number;
}

/**
 * Finds and calls the owner of a shard: the router that writes it for all routers. Ownership reduces the number of
 * updates; correctness does not depend on it.
 */
export class ShardOwners {
    private readonly avoidedUntilMs = new Map<string, number>();

    private constructor(private readonly options: ShardOwnersOptions) {}

    /** Creates an instance for which no owner counts as unresponsive. */
    static create(options: ShardOwnersOptions): ShardOwners {
        return new ShardOwners(options);
    }

    /** Returns the owner among the known routers; undefined if it is this process. */
    ownerOf(shard: string): Peer | undefined {
        const routers = this.options.peers.list().filter(peer => peer.role === "router");
        const byName = new Map(routers.map(peer => [peer.name, peer]));
        const [first] = rendezvousOrder(shard, [this.options.process, ...byName.keys()]);
        return first === undefined ? undefined : byName.get(first);
    }

    /** Calls the owner of a shard. Never rejects. */
    async call<T>(
        shard: string,
        action: (owner: Client<typeof JournalService>, signal: AbortSignal) => Promise<T>,
    ): Promise<OwnerOutcome<T>> {
        const { clock, clients, timeoutMs } = this.options;
        const owner = this.ownerOf(shard);
        if (!owner || clock.monotonicMs() < (this.avoidedUntilMs.get(owner.name) ?? 0)) {
            return { kind: "not-called" };
        }
        const client = clients.get(JournalService, owner);
        const never = new AbortController().signal;
        const response = await withDeadline(clock, timeoutMs, never, signal => action(client, signal));
        if (response === undefined) {
            this.avoidedUntilMs.set(owner.name, clock.monotonicMs() + AVOID_MS);
            clients.abandon(owner);
            return { kind: "silent" };
        }
        return { kind: "answered", response };
    }
}

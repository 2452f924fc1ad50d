import type { Client } from "@connectrpc/connect";
import { JournalService } from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import type { Peer } from "../Peer.js";
import type { PeerClients } from "../ports/PeerClients.js";
import type { PeerView } from "../ports/PeerView.js";
import { rendezvousOrder } from "../util/rendezvousOrder.js";
import { withDeadline } from "../util/withDeadline.js";
import type { OwnerOutcome } from "./OwnerOutcome.js";

/** An owner that did not answer is passed over for this long, ms. */
const AVOID_MS = 2000;

/** Options of `ShardOwners`. */
interface ShardOwnersOptions {
    /** Name of this process. */
    process: string;
    peers: PeerView;
    clients: PeerClients;
    clock: Clock;
    /** Longest wait for an owner's answer, ms. */
    timeoutMs: number;
}

/** Finds and calls the router that writes a shard for all. Who that is only makes writing cheap; nothing rests on it. */
export class ShardOwners {
    private readonly avoidedUntilMs = new Map<string, number>();

    private constructor(private readonly options: ShardOwnersOptions) {}

    /** Creates the view of the owners. */
    static create(options: ShardOwnersOptions): ShardOwners {
        return new ShardOwners(options);
    }

    /** The owner among the routers in view; undefined when it is this process. */
    ownerOf(shard: string): Peer | undefined {
        const routers = this.options.peers.list().filter(peer => peer.role === "router");
        const byName = new Map(routers.map(peer => [peer.name, peer]));
        const [first] = rendezvousOrder(shard, [this.options.process, ...byName.keys()]);
        return first === undefined ? undefined : byName.get(first);
    }

    /** Asks the owner of a shard. Never rejects. */
    async call<T>(
        shard: string,
        action: (owner: Client<typeof JournalService>, signal: AbortSignal) => Promise<T>,
    ): Promise<OwnerOutcome<T>> {
        const { clock, clients, timeoutMs } = this.options;
        const owner = this.ownerOf(shard);
        if (!owner || clock.monotonicMs() < (this.avoidedUntilMs.get(owner.name) ?? 0)) {
            return { kind: "not-asked" };
        }
        const client = clients.get(JournalService, owner);
        const never = new AbortController().signal;
        const answer = await withDeadline(clock, timeoutMs, never, signal => action(client, signal));
        if (answer === undefined) {
            this.avoidedUntilMs.set(owner.name, clock.monotonicMs() + AVOID_MS);
            clients.abandon(owner);
            return { kind: "silent" };
        }
        return { kind: "answered", answer };
    }
}

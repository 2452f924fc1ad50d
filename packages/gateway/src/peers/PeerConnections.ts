import { createClient } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import { Backoff } from "@fescuehaven/coordination";
import { GatewayService, type GatewayUpdate } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { PeerState } from "./PeerState.js";
import { Topology } from "./Topology.js";

/** What `PeerConnections` are made of. */
interface PeerConnectionsOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    /** Name and zone of this VM. */
    vm: string;
    zone: string;
    onState: (peer: string, state: PeerState) => void;
    onLost: (peer: string) => void;
}

interface Registered {
    address: string;
    zone: string;
}

interface Connection extends Registered {
    stop: AbortController;
    heardAtMs: number;
    /** Since when it has been heard without a gap. */
    steadySinceMs: number;
    followedSinceMs: number;
    /** The dial in progress, or the stream that it led to, and when it began. */
    attempt: AbortController;
    dialledAtMs: number;
    /** Aborts when the peer falls silent; a new one when it is heard again. */
    silent: AbortController;
    isLost: boolean;
}

/** A peer is redialled after this silence, ms: three of its heartbeats. */
const SILENCE_MS = 1200;
/** A zone is in sight while one of its gateways was heard within this time, ms: a heartbeat and a half. */
const REACHABLE_WITHIN_MS = 650;
/** After a cut a peer counts as heard steadily after this time, ms: entries of upstreams are back by then. */
const STEADY_MS = 2200;
/** A hub that is silent for longer is passed over, ms: several redials. */
const GIVEN_UP_MS = 3000;
/** Waits between dials, ms. */
const BACKOFF_FIRST_MS = 150;
const BACKOFF_MAX_MS = 2000;

/** Follows the state of every registered peer, one task for each. */
export class PeerConnections {
    private readonly registered = new Map<string, Registered>();
    private readonly connections = new Map<string, Connection>();
    private readonly topology: Topology;
    /** Hubs of each zone as of the last update, the working one first; none in small fleets. */
    private hubs: ReadonlyMap<string, readonly string[]> = new Map();

    private constructor(private readonly options: PeerConnectionsOptions) {
        this.topology = Topology.create(options.vm, options.zone);
    }

    /** Creates connections to nobody. */
    static create(options: PeerConnectionsOptions): PeerConnections {
        return new PeerConnections(options);
    }

    /** Takes a registered gateway in, this one included. */
    add(vm: string, address: string, zone: string): void {
        this.registered.set(vm, { address, zone });
        this.update();
    }

    /** Takes a gateway out whose registration is gone. */
    remove(vm: string): void {
        this.registered.delete(vm);
        this.update();
    }

    /** Follows who is to be followed now, and nobody else; leaves streams on which nothing has come for too long. */
    update(): void {
        const nowMs = this.options.clock.monotonicMs();
        for (const connection of this.connections.values()) {
            if (nowMs - connection.heardAtMs > REACHABLE_WITHIN_MS) {
                connection.silent.abort();
            }
            if (nowMs - Math.max(connection.heardAtMs, connection.dialledAtMs) > SILENCE_MS) {
                connection.attempt.abort();
            }
        }
        const members = this.members();
        const isSilent = (vm: string) => this.isSilent(vm);
        this.hubs = this.topology.hubs(members, isSilent);
        const followed = this.topology.followed(members, isSilent);
        for (const [vm, connection] of [...this.connections]) {
            const isSame = this.registered.get(vm)?.address === connection.address;
            // One that fell silent is still dialled, so that it is noticed when it is back.
            if (!isSame || (!followed.has(vm) && !this.isSilent(vm))) {
                connection.stop.abort();
                this.connections.delete(vm);
                this.options.onLost(vm);
            }
        }
        for (const vm of followed) {
            const known = this.registered.get(vm);
            if (known && !this.connections.has(vm)) {
                const connection: Connection = {
                    ...known,
                    stop: new AbortController(),
                    heardAtMs: -Infinity,
                    steadySinceMs: -Infinity,
                    followedSinceMs: nowMs,
                    attempt: new AbortController(),
                    dialledAtMs: nowMs,
                    silent: new AbortController(),
                    isLost: true,
                };
                this.connections.set(vm, connection);
                void this.follow(vm, connection);
            }
        }
    }

    /** Stops all connections. */
    close(): void {
        this.connections.forEach(connection => connection.stop.abort());
        this.connections.clear();
    }

    /** Registered gateways, this one included. */
    get gatewayCount(): number {
        return Math.max(1, this.registered.size);
    }

    /** True if gateways speak through hubs. */
    get hasHubs(): boolean {
        return this.hubs.size > 0;
    }

    /** True if this gateway is a hub of its zone. */
    get isHub(): boolean {
        return this.hubs.get(this.options.zone)?.includes(this.options.vm) ?? false;
    }

    /** True if this gateway is the working hub, which speaks for its zone. */
    get isActiveHub(): boolean {
        return this.hubOf(this.options.zone) === this.options.vm;
    }

    /** Zone of a registered gateway. */
    zoneOf(vm: string): string | undefined {
        return this.registered.get(vm)?.zone;
    }

    /** Place of this gateway among those in touch that may take the control, 0 first. */
    candidateRank(): number {
        return this.topology.candidateRank(this.members(), vm => this.silenceMs(vm) <= SILENCE_MS);
    }

    /** The working hub of a zone. */
    hubOf(zone: string): string | undefined {
        return this.hubs.get(zone)?.[0];
    }

    /** Peers that were heard lately, whose views of the store may be read. */
    viewSources(): Array<{ address: string; silent: AbortSignal; }> {
        const sinceMs = this.options.clock.monotonicMs() - REACHABLE_WITHIN_MS;
        return [...this.connections.values()].filter(connection => connection.heardAtMs >= sinceMs).map((
            { address, silent },
        ) => ({
            address,
            silent: silent.signal,
        }));
    }

    /** The hub that this gateway follows, if it was heard lately, with a signal that aborts when it falls silent. */
    reachableHub(): { address: string; silent: AbortSignal; } | undefined {
        const hub = this.hasHubs ? this.hubOf(this.options.zone) : undefined;
        const connection = hub === undefined || hub === this.options.vm ? undefined : this.connections.get(hub);
        const isHeard = connection && this.options.clock.monotonicMs() - connection.heardAtMs <= REACHABLE_WITHIN_MS;
        return isHeard ? { address: connection.address, silent: connection.silent.signal } : undefined;
    }

    /** Time since a peer was last heard, ms; Infinity: never. */
    silenceMs(peer: string): number {
        return this.options.clock.monotonicMs() - (this.connections.get(peer)?.heardAtMs ?? -Infinity);
    }

    /** Followed peers. */
    names(): string[] {
        return [...this.connections.keys()];
    }

    /**
     * False while a zone has gateways and none of them has been heard steadily, and after `sinceMs`: it seems to be cut
     * off.
     */
    isZoneReachable(zone: string, sinceMs = -Infinity): boolean {
        const connections = [...this.connections.values()].filter(connection => connection.zone === zone);
        const nowMs = this.options.clock.monotonicMs();
        const isSteady = (connection: Connection) =>
            nowMs - connection.heardAtMs <= REACHABLE_WITHIN_MS && connection.heardAtMs >= sinceMs
            && nowMs - connection.steadySinceMs >= STEADY_MS;
        return connections.length === 0 || connections.some(isSteady);
    }

    /** Peers that were heard lately. */
    connectedPeers(): string[] {
        return this.names().filter(peer => this.silenceMs(peer) <= SILENCE_MS);
    }

    private members(): Array<{ vm: string; zone: string; }> {
        return [...this.registered].map(([vm, { zone }]) => ({ vm, zone }));
    }

    /** True for a followed peer that has not been heard for a while. */
    private isSilent(vm: string): boolean {
        const connection = this.connections.get(vm);
        const sinceMs = Math.max(connection?.heardAtMs ?? 0, connection?.followedSinceMs ?? 0);
        return connection !== undefined && this.options.clock.monotonicMs() - sinceMs > GIVEN_UP_MS;
    }

    private async follow(peer: string, connection: Connection): Promise<void> {
        const { clock, random } = this.options;
        const backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        while (!connection.stop.signal.aborted) {
            connection.attempt = new AbortController();
            connection.dialledAtMs = clock.monotonicMs();
            try {
                await this.receive(peer, connection, () => backoff.reset());
                this.noteLost(peer, connection, "the peer ended the stream");
            }
            catch (error) {
                this.noteLost(peer, connection, error instanceof Error ? error.message : String(error));
            }
            await clock.sleep(backoff.nextMs(), connection.stop.signal);
        }
    }

    private async receive(peer: string, connection: Connection, onUpdate: () => void): Promise<void> {
        const transport = createGrpcTransport({ baseUrl: `http://${connection.address}` });
        const client = createClient(GatewayService, transport);
        const any = AbortSignal.any([connection.attempt.signal, connection.stop.signal]);
        for await (const update of client.watchGateway({ observer: this.options.vm }, { signal: any })) {
            const nowMs = this.options.clock.monotonicMs();
            if (connection.heardAtMs !== -Infinity && nowMs - connection.heardAtMs > SILENCE_MS) {
                connection.steadySinceMs = nowMs;
            }
            connection.heardAtMs = nowMs;
            if (connection.silent.signal.aborted) {
                connection.silent = new AbortController();
            }
            onUpdate();
            if (connection.isLost) {
                connection.isLost = false;
                this.options.log.info("peer in touch", { peer, address: connection.address });
            }
            this.options.onState(peer, toState(update));
        }
    }

    private noteLost(peer: string, connection: Connection, reason: string): void {
        if (!connection.isLost && !connection.stop.signal.aborted) {
            connection.isLost = true;
            this.options.log.warn("peer lost", { peer, address: connection.address, reason });
            this.options.onLost(peer);
        }
    }
}

function toState(update: GatewayUpdate): PeerState {
    return {
        term: update.term,
        openGroups: update.openGroups.map(({ head, name, epoch, model }) => ({ head, name, epoch, model })),
        controllerDistance: update.controllerDistance,
        loads: update.loads.map(({ epoch, inFlight, unreadTokens, silentMs }) =>
            [String(epoch), { inFlight, pendingPrefillTokens: unreadTokens, silentMs }] as const
        ),
        retries: update.retries.map(({ service, requests, retries }) => [service, { requests, retries }] as const),
        lostEpochs: update.lostEpochs,
    };
}

import { createClient } from "@connectrpc/connect";
import { Backoff } from "@fescuehaven/coordination";
import { type CrashSuspect as CrashSuspectMessage, GatewayService, type GatewayUpdate } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { CrashSuspect } from "../placement/CrashSuspect.js";
import type { DemandReport } from "../placement/DemandReport.js";
import type { GatewayPosition } from "../placement/GatewayPosition.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import { createPeerTransport } from "./createPeerTransport.js";
import type { PeerState } from "./PeerState.js";
import { Topology } from "./Topology.js";
import type { ViewSource } from "./ViewSource.js";

interface PeerConnectionsOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    /** Name and zone of this VM. */
    vm: string;
    zone: string;
    onState: (peer: string, state: PeerState) => void;
    onDisconnected: (peer: string) => void;
}

interface RegisteredGateway {
    address: string;
    zone: string;
    /** Address at which the gateway relays requests to upstreams, HOST:PORT; absent if it does not. */
    relayAddress?: string;
    /** Processor time of its VM, in cores; absent if its build does not state it. */
    processorCores?: number;
}

interface Connection extends RegisteredGateway {
    stop: AbortController;
    lastReceivedAtMs: number;
    /** Since when updates have arrived without a gap. */
    stableSinceMs: number;
    followedSinceMs: number;
    /** Aborts the dial in progress, or the stream that it led to. */
    attempt: AbortController;
    dialedAtMs: number;
    /** Aborts when the peer falls silent; replaced when its next update arrives. */
    silent: AbortController;
    isDisconnected: boolean;
}

/** A peer that is silent for longer is disconnected and redialed: three of its heartbeats. */
const SILENCE_LIMIT_MS = 1200;
/** A peer is reachable if its last update is not older: a heartbeat and a half. */
const REACHABLE_WITHIN_MS = 650;
/** After a partition, a peer counts as stable after this time: upstreams' registrations are back by then. */
const STABLE_AFTER_MS = 2200;
/** A hub that is silent for longer is replaced: several redials. */
const HUB_SILENCE_LIMIT_MS = 3000;
/** Shortest and longest pause between dials. */
const BACKOFF_FIRST_MS = 150;
const BACKOFF_MAX_MS = 2000;

/** Receives the state of the peers that this gateway follows, with one task for each. */
export class PeerConnections {
    private readonly registered = new Map<string, RegisteredGateway>();
    private readonly connections = new Map<string, Connection>();
    private readonly topology: Topology;
    /** Hubs of each zone as of the last update, the active one first; empty in small fleets. */
    private hubs: ReadonlyMap<string, readonly string[]> = new Map();
    /** Computed again when a gateway was added or removed. */
    private cachedPosition: { position: GatewayPosition | undefined; } | undefined;
    private isClosed = false;

    private constructor(private readonly options: PeerConnectionsOptions) {
        this.topology = Topology.create(options.vm, options.zone);
    }

    /** Creates an instance without connections. */
    static create(options: PeerConnectionsOptions): PeerConnections {
        return new PeerConnections(options);
    }

    /** Adds a registered gateway, which may be this one. */
    add(vm: string, gateway: RegisteredGateway): void {
        this.registered.set(vm, gateway);
        this.cachedPosition = undefined;
        this.update();
    }

    /** Removes a gateway whose registration has been removed. */
    remove(vm: string): void {
        this.registered.delete(vm);
        this.cachedPosition = undefined;
        this.update();
    }

    /** Starts and stops following peers according to the topology, and aborts streams that are silent for too long. */
    update(): void {
        if (this.isClosed) {
            return;
        }
        const nowMs = this.options.clock.monotonicMs();
        for (const connection of this.connections.values()) {
            if (nowMs - connection.lastReceivedAtMs > REACHABLE_WITHIN_MS) {
                connection.silent.abort();
            }
            if (nowMs - Math.max(connection.lastReceivedAtMs, connection.dialedAtMs) > SILENCE_LIMIT_MS) {
                connection.attempt.abort();
            }
        }
        const gateways = this.gateways();
        const isSilent = (vm: string) => this.isSilent(vm);
        this.setHubs(this.topology.hubs(gateways, isSilent));
        const followed = this.topology.followed(gateways, isSilent);
        for (const [vm, connection] of [...this.connections]) {
            const isSameAddress = this.registered.get(vm)?.address === connection.address;
            // A peer that fell silent is still dialed, so that its return is noticed.
            if (!isSameAddress || (!followed.has(vm) && !this.isSilent(vm))) {
                connection.stop.abort();
                this.connections.delete(vm);
                this.options.onDisconnected(vm);
            }
        }
        for (const vm of followed) {
            const known = this.registered.get(vm);
            if (known && !this.connections.has(vm)) {
                const connection: Connection = {
                    ...known,
                    stop: new AbortController(),
                    lastReceivedAtMs: -Infinity,
                    stableSinceMs: -Infinity,
                    followedSinceMs: nowMs,
                    attempt: new AbortController(),
                    dialedAtMs: nowMs,
                    silent: new AbortController(),
                    isDisconnected: true,
                };
                this.connections.set(vm, connection);
                void this.follow(vm, connection);
            }
        }
    }

    private setHubs(hubs: ReadonlyMap<string, readonly string[]>): void {
        const { zone, log } = this.options;
        const [before, after] = [this.hubs, hubs].map(byZone => (byZone.get(zone) ?? []).join());
        this.hubs = hubs;
        if (before !== after) {
            log.info("hubs of the zone changed", { hubs: after, before, isHub: this.isHub });
        }
    }

    /** Stops all connections; no new ones are opened. */
    close(): void {
        this.isClosed = true;
        this.connections.forEach(connection => connection.stop.abort());
        this.connections.clear();
    }

    /** Number of registered gateways, including this one. */
    get gatewayCount(): number {
        return Math.max(1, this.registered.size);
    }

    /** Position of this gateway among the registered ones; undefined until it is known to be registered. */
    get position(): GatewayPosition | undefined {
        this.cachedPosition ??= { position: this.computePosition() };
        return this.cachedPosition.position;
    }

    private computePosition(): GatewayPosition | undefined {
        const index = [...this.registered.keys()].sort().indexOf(this.options.vm);
        return index < 0 ? undefined : { index, count: this.registered.size };
    }

    /** True if gateways exchange their state through hubs. */
    get hasHubs(): boolean {
        return this.hubs.size > 0;
    }

    /** True if this gateway is a hub of its zone. */
    get isHub(): boolean {
        return this.hubs.get(this.options.zone)?.includes(this.options.vm) ?? false;
    }

    /** True if this gateway is the active hub, which relays for its zone. */
    get isActiveHub(): boolean {
        return this.activeHubOf(this.options.zone) === this.options.vm;
    }

    /** Returns the zone of a registered gateway. */
    zoneOf(vm: string): string | undefined {
        return this.registered.get(vm)?.zone;
    }

    /** Returns the address at which a registered gateway relays requests. */
    relayAddressOf(vm: string): string | undefined {
        return this.registered.get(vm)?.relayAddress;
    }

    /** Returns the registered gateways other than this one. */
    otherGateways(): string[] {
        return [...this.registered.keys()].filter(vm => vm !== this.options.vm);
    }

    /** Returns the rank of this gateway among the connected candidates for the controller's lease; 0 is first. */
    candidateRank(): number {
        return this.topology.candidateRank(this.gateways(), vm => this.silenceMs(vm) <= SILENCE_LIMIT_MS);
    }

    /** Returns the active hub of a zone. */
    activeHubOf(zone: string): string | undefined {
        return this.hubs.get(zone)?.[0];
    }

    /** Returns the reachable peers, or those of them that are wanted; their views of the store may be read. */
    viewSources(
        isWanted: (peer: string) => boolean = () => true,
    ): ViewSource[] {
        const sinceMs = this.options.clock.monotonicMs() - REACHABLE_WITHIN_MS;
        return [...this.connections]
            .filter(([peer, { lastReceivedAtMs }]) => lastReceivedAtMs >= sinceMs && isWanted(peer))
            .map(([, connection]) => this.toViewSource(connection));
    }

    /** Returns a followed peer if it is reachable; `silent` aborts when it falls silent. */
    reachablePeer(peer: string): ViewSource | undefined {
        const connection = this.connections.get(peer);
        const isReachable = connection
            && this.options.clock.monotonicMs() - connection.lastReceivedAtMs <= REACHABLE_WITHIN_MS;
        return isReachable ? this.toViewSource(connection) : undefined;
    }

    /** Returns the time since a peer's last update; Infinity if there was none. */
    silenceMs(peer: string): number {
        return this.options.clock.monotonicMs() - (this.connections.get(peer)?.lastReceivedAtMs ?? -Infinity);
    }

    /** Returns the peers that this gateway is connected to or dials. */
    followedPeers(): string[] {
        return [...this.connections.keys()];
    }

    /**
     * Returns false if this gateway follows gateways of the zone, and none of them is stable and has sent an update
     * since `sinceMs`: the zone seems to be partitioned.
     */
    isZoneReachable(zone: string, sinceMs = -Infinity): boolean {
        const connections = [...this.connections.values()].filter(connection => connection.zone === zone);
        const nowMs = this.options.clock.monotonicMs();
        const isStable = (connection: Connection) =>
            nowMs - connection.lastReceivedAtMs <= REACHABLE_WITHIN_MS && connection.lastReceivedAtMs >= sinceMs
            && nowMs - connection.stableSinceMs >= STABLE_AFTER_MS;
        return connections.length === 0 || connections.some(isStable);
    }

    /** Returns the peers from which an update was received within the silence limit. */
    connectedPeers(): string[] {
        return this.followedPeers().filter(peer => this.silenceMs(peer) <= SILENCE_LIMIT_MS);
    }

    private isInSameZone({ zone }: Connection): boolean {
        return zone === this.options.zone;
    }

    private toViewSource(connection: Connection): ViewSource {
        const { address, silent } = connection;
        return { address, silent: silent.signal, isInSameZone: this.isInSameZone(connection) };
    }

    private gateways(): Array<{ vm: string; zone: string; processorCores?: number; }> {
        return [...this.registered].map(([vm, { zone, processorCores }]) => ({ vm, zone, processorCores }));
    }

    /** Returns true for a followed peer that has been silent for so long that a hub would be replaced. */
    private isSilent(vm: string): boolean {
        const connection = this.connections.get(vm);
        const sinceMs = Math.max(connection?.lastReceivedAtMs ?? 0, connection?.followedSinceMs ?? 0);
        return connection !== undefined && this.options.clock.monotonicMs() - sinceMs > HUB_SILENCE_LIMIT_MS;
    }

    private async follow(peer: string, connection: Connection): Promise<void> {
        const { clock, random } = this.options;
        const backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        while (!connection.stop.signal.aborted) {
            connection.attempt = new AbortController();
            connection.dialedAtMs = clock.monotonicMs();
            try {
                await this.receive(peer, connection, () => backoff.reset());
                this.recordDisconnect(peer, connection, "the peer ended the stream");
            }
            catch (error) {
                this.recordDisconnect(peer, connection, error instanceof Error ? error.message : String(error));
            }
            await clock.sleep(backoff.nextMs(), connection.stop.signal);
        }
    }

    private async receive(peer: string, connection: Connection, onUpdate: () => void): Promise<void> {
        const transport = createPeerTransport({
            address: connection.address,
            isInSameZone: this.isInSameZone(connection),
        });
        const client = createClient(GatewayService, transport);
        const signal = AbortSignal.any([connection.attempt.signal, connection.stop.signal]);
        for await (const update of client.watchGateway({ observer: this.options.vm }, { signal })) {
            const nowMs = this.options.clock.monotonicMs();
            if (connection.lastReceivedAtMs !== -Infinity && nowMs - connection.lastReceivedAtMs > SILENCE_LIMIT_MS) {
                connection.stableSinceMs = nowMs;
            }
            connection.lastReceivedAtMs = nowMs;
            if (connection.silent.signal.aborted) {
                connection.silent = new AbortController();
            }
            onUpdate();
            if (connection.isDisconnected) {
                connection.isDisconnected = false;
                this.options.log.info("peer connected", { peer, address: connection.address });
            }
            this.options.onState(peer, toPeerState(update));
        }
    }

    private recordDisconnect(peer: string, connection: Connection, reason: string): void {
        if (!connection.isDisconnected && !connection.stop.signal.aborted) {
            connection.isDisconnected = true;
            this.options.log.warn("peer disconnected", { peer, address: connection.address, reason });
            this.options.onDisconnected(peer);
        }
    }
}

function toPeerState(update: GatewayUpdate): PeerState {
    return {
        term: update.term,
        openGroups: update.openGroups.map(({ head, name, epoch, model }) => ({ head, name, epoch, model })),
        controllerDistance: update.controllerDistance,
        loads: update.loads.map(({ epoch, inFlight, unreadTokens, silentMs, heldTokens }) => {
            const load = { inFlight, pendingPrefillTokens: unreadTokens, silentMs };
            return [String(epoch), heldTokens === undefined ? load : { ...load, heldTokens }] as const;
        }),
        retries: update.retries.map(({ service, requests, retries }) => [service, { requests, retries }] as const),
        countedGateways: update.countedGateways,
        lostEpochs: update.lostEpochs,
        configurationVersion: update.configurationVersion,
        ...(update.configurationAgeMs !== undefined && { configurationAgeMs: update.configurationAgeMs }),
        unreachableServices: update.unreachableServices,
        ...(update.demandGateways > 0 && { demand: toDemandReport(update) }),
        announcedLimits: update.announcedLimits.map(report => ({
            upstream: report.upstream,
            startedAtMs: report.startedAtMs,
            requestsPerSecond: report.requestsPerSecond,
            id: report.id,
            ageMs: report.ageMs,
            requestAgeMs: report.requestAgeMs,
        })),
        leavingUpstreams: update.leavingUpstreams.map(({ upstream, startedAtMs, ageMs }) => ({
            upstream,
            startedAtMs,
            ageMs,
        })),
        crashEvidence: {
            promptParts: update.crashSuspects.map(toCrashSuspect),
            requests: update.crashingRequests.map(toCrashSuspect),
        },
    };
}

function toDemandReport({ poolDemands, demandGateways, demandAgeMs }: GatewayUpdate): DemandReport {
    const pools = poolDemands.map(({ service, model, zone, ranks }) => ({
        service,
        model,
        zone,
        ranks: ranks.map(({ rank, offered, admitted, refused, late, accounts }) => ({
            rank,
            offered,
            admitted,
            refused,
            late,
            accounts: accounts.map(({ account, offered: ofAccount }) => [account, ofAccount] as const),
        })),
    }));
    return { pools, gateways: demandGateways, ageMs: demandAgeMs };
}

function toCrashSuspect({ part, pool, crashes, begun, block }: CrashSuspectMessage): CrashSuspect {
    return {
        part,
        pool,
        crashes: crashes.map(({ upstream, ageMs }) => ({ upstream, ageMs })),
        begun: begun && { id: begun.id, ageMs: begun.ageMs },
        block: block && { ageMs: block.ageMs, trials: block.trials },
    };
}

import { createClient } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import { Backoff } from "@fescuehaven/coordination";
import { GatewayService, type GatewayUpdate } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { PeerState } from "./PeerState.js";
import { Topology } from "./Topology.js";

/** What `PeerLinks` are made of. */
interface PeerLinksOptions {
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

interface Link extends Registered {
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
const IN_SIGHT_MS = 650;
/** After a cut a peer counts as heard steadily after this time, ms: entries of upstreams are back by then. */
const STEADY_MS = 2200;
/** A hub that is silent for longer is passed over, ms: several redials. */
const GIVEN_UP_MS = 3000;
/** Waits between dials, ms. */
const BACKOFF_FIRST_MS = 150;
const BACKOFF_MAX_MS = 2000;

/** Follows the state of every registered peer, one task for each. */
export class PeerLinks {
    private readonly registered = new Map<string, Registered>();
    private readonly links = new Map<string, Link>();
    private readonly topology: Topology;
    /** Hubs of each zone as of the last update, the working one first; none in small fleets. */
    private hubs: ReadonlyMap<string, readonly string[]> = new Map();

    private constructor(private readonly options: PeerLinksOptions) {
        this.topology = Topology.create(options.vm, options.zone);
    }

    /** Creates links to nobody. */
    static create(options: PeerLinksOptions): PeerLinks {
        return new PeerLinks(options);
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
        for (const link of this.links.values()) {
            if (nowMs - link.heardAtMs > IN_SIGHT_MS) {
                link.silent.abort();
            }
            if (nowMs - Math.max(link.heardAtMs, link.dialledAtMs) > SILENCE_MS) {
                link.attempt.abort();
            }
        }
        const members = this.members();
        const isSilent = (vm: string) => this.isSilent(vm);
        this.hubs = this.topology.hubs(members, isSilent);
        const followed = this.topology.followed(members, isSilent);
        for (const [vm, link] of [...this.links]) {
            const isSame = this.registered.get(vm)?.address === link.address;
            // One that fell silent is still dialled, so that it is noticed when it is back.
            if (!isSame || (!followed.has(vm) && !this.isSilent(vm))) {
                link.stop.abort();
                this.links.delete(vm);
                this.options.onLost(vm);
            }
        }
        for (const vm of followed) {
            const known = this.registered.get(vm);
            if (known && !this.links.has(vm)) {
                const link: Link = {
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
                this.links.set(vm, link);
                void this.follow(vm, link);
            }
        }
    }

    /** Stops all links. */
    close(): void {
        this.links.forEach(link => link.stop.abort());
        this.links.clear();
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
    get isSpeaker(): boolean {
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
        const sinceMs = this.options.clock.monotonicMs() - IN_SIGHT_MS;
        return [...this.links.values()].filter(link => link.heardAtMs >= sinceMs).map(({ address, silent }) => ({
            address,
            silent: silent.signal,
        }));
    }

    /** The hub that this gateway follows, if it was heard lately, with a signal that aborts when it falls silent. */
    hubInTouch(): { address: string; silent: AbortSignal; } | undefined {
        const hub = this.hasHubs ? this.hubOf(this.options.zone) : undefined;
        const link = hub === undefined || hub === this.options.vm ? undefined : this.links.get(hub);
        const isHeard = link && this.options.clock.monotonicMs() - link.heardAtMs <= IN_SIGHT_MS;
        return isHeard ? { address: link.address, silent: link.silent.signal } : undefined;
    }

    /** Time since a peer was last heard, ms; Infinity: never. */
    silenceMs(peer: string): number {
        return this.options.clock.monotonicMs() - (this.links.get(peer)?.heardAtMs ?? -Infinity);
    }

    /** Followed peers. */
    names(): string[] {
        return [...this.links.keys()];
    }

    /**
     * False while a zone has gateways and none of them has been heard steadily, and after `sinceMs`: it seems to be cut
     * off.
     */
    isZoneInSight(zone: string, sinceMs = -Infinity): boolean {
        const links = [...this.links.values()].filter(link => link.zone === zone);
        const nowMs = this.options.clock.monotonicMs();
        const isSteady = (link: Link) =>
            nowMs - link.heardAtMs <= IN_SIGHT_MS && link.heardAtMs >= sinceMs
            && nowMs - link.steadySinceMs >= STEADY_MS;
        return links.length === 0 || links.some(isSteady);
    }

    /** Peers that were heard lately. */
    inTouch(): string[] {
        return this.names().filter(peer => this.silenceMs(peer) <= SILENCE_MS);
    }

    private members(): Array<{ vm: string; zone: string; }> {
        return [...this.registered].map(([vm, { zone }]) => ({ vm, zone }));
    }

    /** True for a followed peer that has not been heard for a while. */
    private isSilent(vm: string): boolean {
        const link = this.links.get(vm);
        const sinceMs = Math.max(link?.heardAtMs ?? 0, link?.followedSinceMs ?? 0);
        return link !== undefined && this.options.clock.monotonicMs() - sinceMs > GIVEN_UP_MS;
    }

    private async follow(peer: string, link: Link): Promise<void> {
        const { clock, random } = this.options;
        const backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        while (!link.stop.signal.aborted) {
            link.attempt = new AbortController();
            link.dialledAtMs = clock.monotonicMs();
            try {
                await this.receive(peer, link, () => backoff.reset());
                this.noteLost(peer, link, "the peer ended the stream");
            }
            catch (error) {
                this.noteLost(peer, link, error instanceof Error ? error.message : String(error));
            }
            await clock.sleep(backoff.nextMs(), link.stop.signal);
        }
    }

    private async receive(peer: string, link: Link, onUpdate: () => void): Promise<void> {
        const transport = createGrpcTransport({ baseUrl: `http://${link.address}` });
        const client = createClient(GatewayService, transport);
        const any = AbortSignal.any([link.attempt.signal, link.stop.signal]);
        for await (const update of client.watchGateway({ observer: this.options.vm }, { signal: any })) {
            const nowMs = this.options.clock.monotonicMs();
            if (link.heardAtMs !== -Infinity && nowMs - link.heardAtMs > SILENCE_MS) {
                link.steadySinceMs = nowMs;
            }
            link.heardAtMs = nowMs;
            if (link.silent.signal.aborted) {
                link.silent = new AbortController();
            }
            onUpdate();
            if (link.isLost) {
                link.isLost = false;
                this.options.log.info("peer in touch", { peer, address: link.address });
            }
            this.options.onState(peer, toState(update));
        }
    }

    private noteLost(peer: string, link: Link, reason: string): void {
        if (!link.isLost && !link.stop.signal.aborted) {
            link.isLost = true;
            this.options.log.warn("peer lost", { peer, address: link.address, reason });
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
            [String(epoch), { inFlight, unreadTokens, silentMs }] as const
        ),
        retries: update.retries.map(({ service, requests, retries }) => [service, { requests, retries }] as const),
        lostEpochs: update.lostEpochs,
    };
}

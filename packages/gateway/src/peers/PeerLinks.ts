import { createClient } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import { Backoff } from "@fescuehaven/coordination";
import { GatewayService, type GatewayUpdate } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { PeerState } from "./PeerState.js";

/** What `PeerLinks` are made of. */
interface PeerLinksOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    /** Name of this VM. */
    vm: string;
    onState: (peer: string, state: PeerState) => void;
    onLost: (peer: string) => void;
}

interface Link {
    address: string;
    zone: string;
    stop: AbortController;
    heardAtMs: number;
    /** Since when it has been heard without a gap. */
    steadySinceMs: number;
    isLost: boolean;
}

/** A peer is redialled after this silence, ms: three of its heartbeats. */
const SILENCE_MS = 1200;
/** A zone is in sight while one of its gateways was heard within this time, ms: a heartbeat and a half. */
const IN_SIGHT_MS = 650;
/** After a cut a peer counts as heard steadily after this time, ms: entries of upstreams are back by then. */
const STEADY_MS = 2200;
/** Waits between dials, ms. */
const BACKOFF_FIRST_MS = 150;
const BACKOFF_MAX_MS = 2000;

/** Follows the state of every registered peer, one task for each. */
export class PeerLinks {
    private readonly links = new Map<string, Link>();

    private constructor(private readonly options: PeerLinksOptions) {}

    /** Creates links to nobody. */
    static create(options: PeerLinksOptions): PeerLinks {
        return new PeerLinks(options);
    }

    /** Follows a registered peer. */
    add(peer: string, address: string, zone: string): void {
        const known = this.links.get(peer);
        if (peer === this.options.vm || known?.address === address) {
            return;
        }
        known?.stop.abort();
        const link: Link = {
            address,
            zone,
            stop: new AbortController(),
            heardAtMs: -Infinity,
            steadySinceMs: 0,
            isLost: true,
        };
        this.links.set(peer, link);
        void this.follow(peer, link);
    }

    /** Stops to follow a peer whose registration is gone. */
    remove(peer: string): void {
        this.links.get(peer)?.stop.abort();
        this.links.delete(peer);
        this.options.onLost(peer);
    }

    /** Stops all links. */
    close(): void {
        [...this.links.keys()].forEach(peer => this.remove(peer));
    }

    /** Time since a peer was last heard, ms; Infinity: never. */
    silenceMs(peer: string): number {
        return this.options.clock.monotonicMs() - (this.links.get(peer)?.heardAtMs ?? -Infinity);
    }

    /** Registered peers. */
    names(): string[] {
        return [...this.links.keys()];
    }

    /** False while a zone has gateways and none of them has been heard steadily: it seems to be cut off. */
    isZoneInSight(zone: string): boolean {
        const links = [...this.links.values()].filter(link => link.zone === zone);
        const nowMs = this.options.clock.monotonicMs();
        const isSteady = (link: Link) =>
            nowMs - link.heardAtMs <= IN_SIGHT_MS && nowMs - link.steadySinceMs >= STEADY_MS;
        return links.length === 0 || links.some(isSteady);
    }

    /** Peers that were heard lately. */
    inTouch(): string[] {
        return this.names().filter(peer => this.silenceMs(peer) <= SILENCE_MS);
    }

    private async follow(peer: string, link: Link): Promise<void> {
        const { clock, random } = this.options;
        const backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        while (!link.stop.signal.aborted) {
            const attempt = new AbortController();
            const watchdog = this.abortWhenSilent(link, attempt);
            try {
                await this.receive(peer, link, attempt.signal, () => backoff.reset());
                this.noteLost(peer, link, "the peer ended the stream");
            }
            catch (error) {
                this.noteLost(peer, link, error instanceof Error ? error.message : String(error));
            }
            finally {
                attempt.abort();
                await watchdog;
            }
            await clock.sleep(backoff.nextMs(), link.stop.signal);
        }
    }

    private async receive(peer: string, link: Link, signal: AbortSignal, onUpdate: () => void): Promise<void> {
        const transport = createGrpcTransport({ baseUrl: `http://${link.address}` });
        const client = createClient(GatewayService, transport);
        const any = AbortSignal.any([signal, link.stop.signal]);
        for await (const update of client.watchGateway({ observer: this.options.vm }, { signal: any })) {
            const nowMs = this.options.clock.monotonicMs();
            if (link.heardAtMs !== -Infinity && nowMs - link.heardAtMs > SILENCE_MS) {
                link.steadySinceMs = nowMs;
            }
            link.heardAtMs = nowMs;
            onUpdate();
            if (link.isLost) {
                link.isLost = false;
                this.options.log.info("peer in touch", { peer, address: link.address });
            }
            this.options.onState(peer, toState(update));
        }
    }

    /** Ends an attempt on which nothing has come for too long. */
    private async abortWhenSilent(link: Link, attempt: AbortController): Promise<void> {
        const { clock } = this.options;
        const dialledAtMs = clock.monotonicMs();
        while (!attempt.signal.aborted && !link.stop.signal.aborted) {
            await clock.sleep(SILENCE_MS / 4, attempt.signal);
            if (clock.monotonicMs() - Math.max(link.heardAtMs, dialledAtMs) > SILENCE_MS) {
                attempt.abort();
            }
        }
        attempt.abort();
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
        hearsController: update.hearsController,
        isController: update.isController,
        configurationVersion: update.configurationVersion,
        loads: update.loads.map(({ epoch, inFlight, unreadTokens, silentMs }) =>
            [String(epoch), { inFlight, unreadTokens, silentMs }] as const
        ),
        retries: update.retries.map(({ service, requests, retries }) => [service, { requests, retries }] as const),
        lostEpochs: update.lostEpochs,
        isLeaving: update.isLeaving,
    };
}

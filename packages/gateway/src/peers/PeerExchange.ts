import type { Clock } from "@fescuehaven/runtime";
import type { ControllerLease } from "../fleet/ControllerLease.js";
import type { FleetController } from "../fleet/FleetController.js";
import type { GroupDirectory } from "../placement/GroupDirectory.js";
import type { LoadBook } from "../placement/LoadBook.js";
import type { RetryAllowance } from "../placement/RetryAllowance.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { PeerLinks } from "./PeerLinks.js";
import type { PeerState } from "./PeerState.js";

/** What a `PeerExchange` is made of. */
interface PeerExchangeOptions {
    clock: Clock;
    log: DecisionLog;
    /** Name and zone of this VM. */
    vm: string;
    zone: string;
    links: PeerLinks;
    lease: ControllerLease;
    controller: FleetController;
    loads: LoadBook;
    retries: RetryAllowance;
    upstreams: UpstreamDirectory;
    groups: GroupDirectory;
    configurationVersion: () => number;
    isLeaving: () => boolean;
    /** A peer has requests in flight. */
    onTraffic: () => void;
    /** Sends news without waiting for the next turn. */
    flush: () => void;
}

/** A lost group is announced for this long, ms: a link that broke is back within a few seconds. */
const ANNOUNCED_MS = 5000;
/** Hops over which the controller is still heard: member, hub, hub, member. */
const MAX_DISTANCE = 3;
/** Distance of a controller that is not heard. */
const UNREACHABLE = 9;

/** Decides what gateways tell each other, and what follows from what they are told. */
export class PeerExchange {
    /** What each peer said last. */
    private readonly peerStates = new Map<string, PeerState>();
    /** Groups that this controller found lost, and when, monotonic ms. */
    private readonly lostEpochs = new Map<number, number>();

    private constructor(private readonly options: PeerExchangeOptions) {}

    /** Creates an exchange that has heard of nobody. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** True if a peer in touch is near enough to the controller. */
    get isControllerHeard(): boolean {
        return this.distance <= MAX_DISTANCE;
    }

    /** What a peer is told: a hub speaks for its zone, and to its zone for all others. */
    stateFor(observer: string): PeerState {
        const isMember = (peer: string) => this.options.links.zoneOf(peer) === this.options.zone;
        const isToOwnZone = isMember(observer);
        const speaksForOthers = this.options.links.hasHubs && this.options.links.isHub;
        const isToHub = isToOwnZone && this.options.links.names().includes(observer) && this.isOtherHub(observer);
        const isIncluded = (peer: string) =>
            speaksForOthers && !isToHub && peer !== observer && (isToOwnZone || isMember(peer));
        const fleet = this.options.lease.isController
            ? { lostEpochs: [...this.lostEpochs.keys()], openGroups: this.options.controller.recentlyOpened() }
            : this.relayedFleet();
        return {
            term: this.options.lease.term,
            controllerDistance: this.options.lease.isController ? 0 : Math.min(this.distance + 1, UNREACHABLE),
            configurationVersion: this.options.configurationVersion(),
            loads: this.options.loads.places(isIncluded).filter(([place]) => isEpoch(place)),
            retries: this.options.retries.counts(isIncluded),
            ...fleet,
            isLeaving: this.options.isLeaving(),
        };
    }

    /** Takes what a peer tells. */
    take(peer: string, state: PeerState): void {
        this.options.lease.observeTerm(state.term);
        this.peerStates.set(peer, state);
        if (this.speaksToMe(peer)) {
            this.options.loads.putPeer(peer, state.loads);
            this.options.retries.putPeer(peer, state.retries);
        }
        else {
            this.options.loads.dropPeer(peer);
            this.options.retries.dropPeer(peer);
        }
        if (state.loads.length > 0) {
            this.options.onTraffic();
        }
        if (state.controllerDistance <= MAX_DISTANCE && state.term >= this.options.lease.term) {
            state.openGroups.forEach(group => this.options.upstreams.noteOpen(group));
            state.lostEpochs.forEach(epoch => this.loseGroup(epoch, `${peer} told that the group is lost`));
        }
    }

    /** Forgets a peer that is gone. */
    drop(peer: string): void {
        this.options.loads.dropPeer(peer);
        this.options.retries.dropPeer(peer);
        this.peerStates.delete(peer);
    }

    /** True unless another hub of the peer's zone speaks for it. */
    private speaksToMe(peer: string): boolean {
        if (!this.options.links.hasHubs) {
            return true;
        }
        const peerZone = this.options.links.zoneOf(peer) ?? "";
        const isOwnMember = peerZone === this.options.zone && this.options.links.isHub;
        return isOwnMember || this.options.links.hubOf(peerZone) === peer;
    }

    private isOtherHub(peer: string): boolean {
        return this.options.links.isHub && this.options.links.hubOf(this.options.zone) !== undefined
            && [this.options.links.hubOf(this.options.zone), this.options.links.secondHubOf(this.options.zone)]
                .includes(peer);
    }

    /** Hops from the nearest peer in touch to the controller of the highest term. */
    private get distance(): number {
        const distances = this.options.links.inTouch().map(peer => {
            const state = this.peerStates.get(peer);
            return state && state.term >= this.options.lease.term ? state.controllerDistance : UNREACHABLE;
        });
        return Math.min(UNREACHABLE, ...distances);
    }

    /** Silence of a gateway: of its own link, or 0 if peers in touch are near enough to it as the controller. */
    silenceMs(vm: string): number {
        if (vm === this.options.vm || (this.options.links.hasHubs && this.distance <= MAX_DISTANCE)) {
            return 0;
        }
        return this.options.links.silenceMs(vm);
    }

    /** What the nearest peer knows of the controller's fleet. */
    private relayedFleet(): Pick<PeerState, "lostEpochs" | "openGroups"> {
        const near = this.options.links.hasHubs
            ? this.options.links.inTouch().map(peer => this.peerStates.get(peer)).find(state =>
                state && state.term >= this.options.lease.term && state.controllerDistance <= MAX_DISTANCE
            )
            : undefined;
        return { lostEpochs: near?.lostEpochs ?? [], openGroups: near?.openGroups ?? [] };
    }

    /** Tells all peers that a group is lost, and moves its requests. */
    announceLost(epoch: number, reason: string): void {
        this.lostEpochs.set(epoch, this.options.clock.monotonicMs());
        this.loseGroup(epoch, reason);
        this.options.flush();
    }

    private loseGroup(epoch: number, reason: string): void {
        if (this.options.groups.markLost(epoch)) {
            const moved = this.options.loads.abandon(String(epoch), reason);
            this.options.log.info("group lost", { epoch, reason, requests: moved });
        }
    }

    /** Forgets announcements that everybody has had time to hear. */
    sweep(): void {
        const sinceMs = this.options.clock.monotonicMs() - ANNOUNCED_MS;
        this.lostEpochs.forEach((atMs, epoch) => atMs < sinceMs && this.lostEpochs.delete(epoch));
    }
}

/** Loads of plain upstreams go by their ids; only those of groups, by epoch, are told. */
function isEpoch(place: string): boolean {
    return /^\d+$/.test(place);
}

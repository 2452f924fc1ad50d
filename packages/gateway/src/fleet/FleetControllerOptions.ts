import type { Clock } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { ControllerLease } from "./ControllerLease.js";
import type { DemandPlanner } from "./DemandPlanner.js";
import type { EpochSource } from "./EpochSource.js";
import type { MemberProber } from "./MemberProber.js";
import type { OrderSender } from "./OrderSender.js";
import type { StandbyPool } from "./StandbyPool.js";
import type { WeightLoadLimiter } from "./WeightLoadLimiter.js";

/** What the parts of the fleet controller need. */
export interface FleetControllerOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    configuration: ActiveConfiguration;
    upstreams: UpstreamDirectory;
    loads: LoadTracker;
    lease: ControllerLease;
    epochs: EpochSource;
    orders: OrderSender;
    prober: MemberProber;
    weightLoadLimiter: WeightLoadLimiter;
    standbyPool: StandbyPool;
    /** Derives shares from the demand for models; the configured shares are planned if absent. */
    demandPlanner?: DemandPlanner;
    /** Time for which the head of a group with an unresponsive member waits before it gives the group up. */
    groupStallMs: number;
    /**
     * Returns false while a zone seems to be partitioned from this one, or if nothing was received from it since
     * `sinceMs`. Conclusions about the upstreams of such a zone would be wrong.
     */
    isZoneReachable: (zone: string, sinceMs?: number) => boolean;
    /**
     * Returns false while no upstream of a service seems to respond to this gateway. That tells nothing of any single one:
     * they may all work, and be back at any moment.
     */
    isServiceReachable: (service: string) => boolean;
    /** How much older the loads reported by other gateways can be than the interval between their updates. */
    loadLagMs: () => number;
    /** Reports a lost group to all gateways. */
    announceLost: (epoch: number, reason: string) => void;
    /** Returns true if a group was recently reported lost. Gateways send no requests to such a group. */
    isLost: (epoch: number) => boolean;
    /** Returns false while the view of upstreams is not kept up to date by the store. */
    isViewFresh: () => boolean;
    /** Reports newly opened groups to all gateways. */
    announceOpen: () => void;
}

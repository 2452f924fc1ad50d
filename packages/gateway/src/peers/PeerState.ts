import type { CrashReport } from "../placement/CrashReport.js";
import type { DemandReport } from "../placement/DemandReport.js";
import type { LeavingReport } from "../placement/LeavingReport.js";
import type { LimitReport } from "../placement/LimitReport.js";
import type { RetryCounts } from "../placement/RetryCounts.js";
import type { TargetLoad } from "../placement/TargetLoad.js";
import type { OpenGroup } from "./OpenGroup.js";

/** State that a gateway sends to its peers. */
export interface PeerState {
    term: number;
    /** Groups that the controller has seen open recently. */
    openGroups: readonly OpenGroup[];
    /** Hops from the sender to the controller that it knows of; 0 if it is the controller. */
    controllerDistance: number;
    /** Groups, by epoch, with requests in flight of the sender and of the gateways for which it relays. */
    loads: ReadonlyArray<readonly [string, TargetLoad]>;
    /** Requests and retries of the sender and of the gateways for which it relays, by service. */
    retries: ReadonlyArray<readonly [string, RetryCounts]>;
    /** Number of gateways whose requests and retries are included. */
    countedGateways: number;
    /** Epochs of groups that the controller found lost. */
    lostEpochs: readonly number[];
    /** Prompts and requests under which upstreams have crashed, from all gateways of which the sender has learned. */
    crashEvidence: CrashReport;
    /** Limits that upstreams have announced, from all gateways of which the sender has learned. */
    announcedLimits: readonly LimitReport[];
    /** Instances of upstreams that are shutting down, from all gateways of which the sender has learned. */
    leavingUpstreams: readonly LeavingReport[];
    /** Version of the sender's active configuration; 0 if it has none. */
    configurationVersion: number;
    /** Time since the store confirmed that this is the newest version; absent if the sender does not state it. */
    configurationAgeMs?: number;
    /** Services of which the sender reaches no upstream. */
    unreachableServices: readonly string[];
    /**
     * Demand for engines, of the sender and of the gateways for which it relays; absent in updates that leave the last
     * figures valid, and from builds that do not count it.
     */
    demand?: DemandReport;
}

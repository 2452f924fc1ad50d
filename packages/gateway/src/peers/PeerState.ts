import type { RetryCounts } from "../placement/RetryCounts.js";
import type { TargetLoad } from "../placement/TargetLoad.js";
import type { OpenGroup } from "./OpenGroup.js";

/** What gateways tell each other. */
export interface PeerState {
    term: number;
    /** Groups that the controller has seen open lately. */
    openGroups: readonly OpenGroup[];
    /** Hops from the sender to the controller that it knows of; 0: it is the controller. */
    controllerDistance: number;
    /** Groups, by epoch, with requests in flight of the sender and of those for whom it speaks. */
    loads: ReadonlyArray<readonly [string, TargetLoad]>;
    /** Requests and retries of the sender and of those for whom it speaks, by service. */
    retries: ReadonlyArray<readonly [string, RetryCounts]>;
    /** Groups that the controller found lost. */
    lostEpochs: readonly number[];
}

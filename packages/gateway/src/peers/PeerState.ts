import type { LoadFigures } from "../placement/LoadFigures.js";
import type { RetryCounts } from "../placement/RetryCounts.js";
import type { OpenGroup } from "./OpenGroup.js";

/** What gateways tell each other. */
export interface PeerState {
    term: number;
    /** Groups that the controller has seen open lately. */
    openGroups: readonly OpenGroup[];
    /** The sender hears the controller that it knows of, or is it. */
    hearsController: boolean;
    isController: boolean;
    /** 0: none known. */
    configurationVersion: number;
    /** Groups, by epoch, with requests of the sender in flight. */
    loads: ReadonlyArray<readonly [string, LoadFigures]>;
    /** Requests and retries of the sender, by service. */
    retries: ReadonlyArray<readonly [string, RetryCounts]>;
    /** Groups that the controller found lost. */
    lostEpochs: readonly number[];
    isLeaving: boolean;
}

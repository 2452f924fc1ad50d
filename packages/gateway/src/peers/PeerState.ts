import type { LoadFigures } from "../placement/LoadFigures.js";

/** What gateways tell each other. */
export interface PeerState {
    term: number;
    isController: boolean;
    /** 0: none known. */
    configurationVersion: number;
    /** Groups, by epoch, with requests of the sender in flight. */
    loads: ReadonlyArray<readonly [string, LoadFigures]>;
    /** Groups that the controller found lost. */
    lostEpochs: readonly number[];
    isLeaving: boolean;
}

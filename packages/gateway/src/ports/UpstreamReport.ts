import type { GroupMembership } from "../model/GroupMembership.js";

/** Result of requesting a report from an upstream. */
export type UpstreamReport =
    | {
        kind: "reported";
        startedAtMs: number;
        /** Number of orders that this instance of the upstream has accepted. */
        orderCount: number;
        group?: GroupMembership;
        model?: string;
        stagedModels: readonly string[];
        /** Factor on the usual durations; above 1 the upstream is slow. */
        slowdown: number;
        /** True if the response says that the upstream is shutting down. */
        isLeaving?: boolean;
    }
    /** Another upstream responded at this address. */
    | { kind: "other-instance"; }
    /** `isRefused` is true if the VM refused the connection: no process listens at the address any more. */
    | { kind: "unreachable"; reason: string; isRefused: boolean; };

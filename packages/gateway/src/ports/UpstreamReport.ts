import type { GroupMembership } from "../model/GroupMembership.js";

/** What an upstream answers when asked for its state. */
export type UpstreamReport =
    | {
        kind: "reported";
        startedAtMs: number;
        /** Orders that this life of the upstream has accepted. */
        orderCount: number;
        group?: GroupMembership;
        model?: string;
        stagedModels: readonly string[];
        /** Factor on its usual times; above 1 it is slow. */
        slowdown: number;
    }
    /** It said that it is another upstream. */
    | { kind: "other-instance"; }
    | { kind: "unreachable"; reason: string; };

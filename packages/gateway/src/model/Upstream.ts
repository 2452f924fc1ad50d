import type { GroupMembership } from "./GroupMembership.js";

/** An upstream VM as it registered itself. */
export interface Upstream {
    id: string;
    /** When its process started, Unix ms; tells two lives of one id apart. */
    startedAtMs: number;
    service: string;
    /** Where it listens, HOST:PORT. */
    address: string;
    zone: string;
    /** Fabric domain; groups inside one domain run at full speed. */
    domain: string;
    state: "ready" | "draining";
    slots: number;
    /** Until when it is cold, on this process's monotonic clock, ms. */
    coldUntilMs: number;
    /** Models whose weights are on its host. */
    stagedModels: readonly string[];
    /** Model in its memory, if any. */
    model?: string;
    group?: GroupMembership;
}

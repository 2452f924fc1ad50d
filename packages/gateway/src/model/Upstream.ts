import type { GroupMembership } from "./GroupMembership.js";

/** An upstream VM as it registered itself. */
export interface Upstream {
    id: string;
    /** When its process started, Unix time; distinguishes instances with the same id. */
    startedAtMs: number;
    /** Grows with every registration of the instance; 0 if the registration states none. */
    registrationNumber: number;
    service: string;
    /** Address on which it listens, HOST:PORT. */
    address: string;
    zone: string;
    /** Fabric domain. A group inside one domain runs at full speed. */
    domain: string;
    state: "ready" | "draining";
    slots: number;
    /** When it stops being cold, on this process's monotonic clock. */
    coldUntilMs: number;
    /** Models whose weights are staged on its host. */
    stagedModels: readonly string[];
    /** Model whose weights are in its own memory, if any. */
    model?: string;
    group?: GroupMembership;
}

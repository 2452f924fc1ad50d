/** An event in a simulated zone. */
export type ZoneEvent =
    | { atMs: number; kind: "down"; vms: string[]; forMs: number; }
    | { atMs: number; kind: "up"; vms: string[]; }
    | { atMs: number; kind: "add"; group: string; size: number; }
    | { atMs: number; kind: "remove"; group: string; }
    /** A member that is down now counts as lost, or a load has ended: the groups are checked again. */
    | { atMs: number; kind: "recheck"; };

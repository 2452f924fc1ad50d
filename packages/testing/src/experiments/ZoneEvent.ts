/** A change in a simulated zone at a time in ms. */
export type ZoneEvent =
    | { atMs: number; kind: "down"; vms: string[]; forMs: number; }
    | { atMs: number; kind: "up"; vms: string[]; }
    | { atMs: number; kind: "add"; group: string; size: number; }
    | { atMs: number; kind: "remove"; group: string; }
    /** A member's loss counts, or a load ends: look again. */
    | { atMs: number; kind: "look"; };

/** Order to an upstream: a control command that changes its group membership or stages weights. */
export type GroupOrder =
    | { kind: "join"; group: string; epoch: number; model: string; members: readonly string[]; }
    | { kind: "open"; group: string; epoch: number; }
    /** The head accepts no new requests, but finishes those in progress. */
    | { kind: "close"; group: string; epoch: number; }
    | { kind: "leave"; group: string; epoch: number; }
    | { kind: "stage"; model: string; };

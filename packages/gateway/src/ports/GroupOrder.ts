/** An order to an upstream. */
export type GroupOrder =
    | { kind: "join"; group: string; epoch: number; model: string; members: readonly string[]; }
    | { kind: "open"; group: string; epoch: number; }
    /** Takes no new requests; the ones in progress run to their end. */
    | { kind: "close"; group: string; epoch: number; }
    | { kind: "leave"; group: string; epoch: number; }
    | { kind: "stage"; model: string; };

import type { Table } from "./Table.js";

/** Compares alternative implementations in memory, using the product's own classes. */
export interface Comparison {
    /** Short description for readers. */
    description: string;
    run(seed: number): Promise<Table[]>;
}

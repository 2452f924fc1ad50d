import type { Table } from "./Table.js";

/** Compares ways to do one thing in memory, on the product's own parts. */
export interface Comparison {
    /** One sentence for people. */
    description: string;
    run(seed: number): Promise<Table[]>;
}

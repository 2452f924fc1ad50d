import type { JournalOperation } from "./JournalOperation.js";

/** The operation of kind `K`. */
export type OperationOf<K extends JournalOperation["kind"]> = Extract<JournalOperation, { kind: K; }>;

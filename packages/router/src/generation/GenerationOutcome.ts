import type { Refusal } from "../Refusal.js";

/** How a generation ended. */
export type GenerationOutcome =
    /** Every token was given to the sink. */
    | { kind: "finished"; tokenCount: number; }
    | { kind: "refused"; refusal: Refusal; };

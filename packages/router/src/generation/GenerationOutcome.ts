import type { Refusal } from "../Refusal.js";

/** Result of a generation over all its attempts. */
export type GenerationOutcome =
    /** Every token was passed to the sink. */
    | { kind: "finished"; tokenCount: number; }
    | { kind: "refused"; refusal: Refusal; };

import type { Refusal } from "../Refusal.js";
import type { ServiceAnswer } from "./ServiceAnswer.js";

/** How a plain service call ended for its caller. */
export type ServiceResult =
    | { kind: "answered"; answer: ServiceAnswer; }
    | { kind: "refused"; refusal: Refusal; };

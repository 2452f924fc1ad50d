import type { Refusal } from "../Refusal.js";
import type { ServiceResponse } from "./ServiceResponse.js";

/** Result of a plain service call over all its attempts. */
export type ServiceResult =
    | { kind: "answered"; response: ServiceResponse; }
    | { kind: "refused"; refusal: Refusal; };

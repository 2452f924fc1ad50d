import type { ServiceOutcome } from "../services/ServiceOutcome.js";
import type { ServiceRequest } from "../services/ServiceRequest.js";

/** Sends calls to plain services. */
export interface ServiceClient {
    /** Sends a call without retries. Never rejects. */
    call(endpointUrl: string, path: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceOutcome>;
}

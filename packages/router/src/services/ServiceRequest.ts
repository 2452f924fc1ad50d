/** A plain service call as an endpoint takes it. */
export interface ServiceRequest {
    requestId: string;
    idempotencyKey?: string;
    body: Uint8Array;
    contentType: string;
}

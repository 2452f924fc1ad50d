/** The part of a plain service call that is sent to an endpoint. */
export interface ServiceRequest {
    requestId: string;
    idempotencyKey?: string;
    body: Uint8Array;
    contentType: string;
}

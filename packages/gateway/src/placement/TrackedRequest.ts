/** A request in flight. */
export interface TrackedRequest {
    /** The place sent an event of the request. */
    recordEvent(): void;

    /** The request has ended at the place. */
    end(): void;
}

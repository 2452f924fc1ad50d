/** A request in flight that is part of a target's load. */
export interface TrackedRequest {
    /** Records that the target sent an event of the request. */
    recordEvent(): void;

    /** Removes the request from the target's load. */
    end(): void;
}

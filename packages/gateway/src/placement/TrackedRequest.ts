/** A request in flight that is part of a target's load. */
export interface TrackedRequest {
    /** Records that the target sent events of the request, at once. */
    recordEvent(events?: number): void;

    /** Records that the response is not read for a time, because its caller reads slowly. */
    pause(): void;

    /** Records that the response is read again. */
    resume(): void;

    /** Removes the request from the target's load. */
    end(): void;
}

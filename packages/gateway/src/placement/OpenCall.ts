/** A request in flight. */
export interface OpenCall {
    /** The place sent an event of the request. */
    noteEvent(): void;

    /** The request has ended at the place. */
    end(): void;
}

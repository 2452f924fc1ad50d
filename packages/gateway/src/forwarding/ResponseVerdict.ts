/** What the complete response of an upstream means for a request that it may have run. */
export type ResponseVerdict =
    /** The upstream has run the request with success. */
    | "success"
    /** The upstream has dealt with the request and says that it cannot succeed. */
    | "final"
    /** The upstream has failed. */
    | "failure"
    /** The upstream has failed, with a status that promises callers that the request has not run. */
    | "misleading-failure"
    /** The response says success but does not prove that it is the upstream's. */
    | "unproven";

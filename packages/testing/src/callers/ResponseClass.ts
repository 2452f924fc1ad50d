/** Result of comparing a response with the expected one. */
export type ResponseClass =
    | "correct"
    /** A refusal that says that nothing ran; also a connection that could not be made. */
    | "refused-did-not-run"
    /** A refusal that leaves open whether the call ran, or says that it did. */
    | "refused-unknown"
    | "wrong"
    /** Has every token, some of them more than once. */
    | "duplicated"
    /** A correct beginning, or all tokens without the proper end. */
    | "truncated";

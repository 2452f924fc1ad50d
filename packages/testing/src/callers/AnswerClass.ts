/** What an answer turned out to be when compared with the one that the call should yield. */
export type AnswerClass =
    | "whole"
    /** A refusal that says that nothing ran; also a connection that could not be made. */
    | "refused-did-not-run"
    /** A refusal that leaves open whether the call ran, or says that it did. */
    | "refused-unknown"
    | "wrong"
    /** Has every token, some of them more than once. */
    | "duplicated"
    /** Right as far as it goes. */
    | "cut";

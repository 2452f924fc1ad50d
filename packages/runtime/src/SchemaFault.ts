/** One fault found in settings or in an object. */
export interface SchemaFault {
    /** Dotted path of the field, `(root)` for the whole. */
    path: string;
    /** What was expected there, for people. */
    expected: string;
}

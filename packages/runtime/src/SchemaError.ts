/** One error found in settings or in an object. */
export interface SchemaError {
    /** Dotted path of the field, `(root)` for the whole object. */
    path: string;
    /** What was expected there, for people. */
    expected: string;
}

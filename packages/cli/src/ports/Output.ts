/** Where a command writes. */
export interface Output {
    /** Writes a line for the reader or a program. */
    line(text: string): void;

    /** Writes a line about a failure. */
    error(text: string): void;
}

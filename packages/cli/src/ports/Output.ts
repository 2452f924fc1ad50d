/** Destination of a command's output. */
export interface Output {
    /** Writes a line of the command's result. */
    line(text: string): void;

    /** Writes an error message. */
    error(text: string): void;
}

/** Log of one part of a process; the prefix is fixed at creation. */
export interface Logger {
    /** Detail for developers. */
    debug(message: string): void;
    /** Something ordinary happened. */
    info(message: string): void;
    /** Something to look at when it persists. */
    warn(message: string): void;
    /** Something that an operator should see. */
    error(message: string): void;
}

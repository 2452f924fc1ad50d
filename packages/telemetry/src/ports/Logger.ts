/** Logger of one part of a process. The name of the part is fixed at creation. */
export interface Logger {
    /** Logs details for developers. */
    debug(message: string): void;
    /** Logs a normal event. */
    info(message: string): void;
    /** Logs a problem that needs attention if it persists. */
    warn(message: string): void;
    /** Logs a problem that an operator should see. */
    error(message: string): void;
}

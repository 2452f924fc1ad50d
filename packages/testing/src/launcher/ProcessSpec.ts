/** A process to start. */
export interface ProcessSpec {
    /** Unique name; also the name of its log and settings files. */
    name: string;
    /** Name of the binary in the folder of built binaries, without `.js`. */
    binary: string;
    /** Written to a file that `--settings` names. */
    settings: object;
    /** Answers 200 once the process is ready. */
    readyUrl: string;
}

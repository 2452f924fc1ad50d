/** A process to start. */
export interface ProcessSpec {
    /** Unique name; also the name of its log and settings files. */
    name: string;
    /** Name of the binary in the folder of built binaries, without `.js`. */
    binary: string;
    /** Written to a file that `--settings` names; a text is written as it is. */
    settings: object | string;
    /** Environment variable that names the settings file instead of `--settings`. */
    settingsVariable?: string;
    /** Answers 200 once the process is ready. */
    readyUrl: string;
}

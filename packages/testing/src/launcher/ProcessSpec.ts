/** A process to start. */
export interface ProcessSpec {
    /** Unique name; also used as the name of the log and settings files. */
    name: string;
    /** Name of the binary in the folder of built binaries, without `.js`. */
    binary: string;
    /** Content of the settings file that is passed by `--settings`; objects are written as JSON, strings unchanged. */
    settings: object | string;
    /** Environment variable that passes the path of the settings file instead of `--settings`. */
    settingsVariable?: string;
    /** URL that responds with 200 once the process is ready. */
    readyUrl: string;
}

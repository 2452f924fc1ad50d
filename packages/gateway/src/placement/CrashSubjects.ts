/** What a request has that may be why upstreams crash under it. */
export interface CrashSubjects {
    /** Equal for requests that ask for the same, whatever their ids. */
    fingerprint: string;
    /** Parts of the prompt that other requests may have too. */
    promptParts: readonly string[];
}

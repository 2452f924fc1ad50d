/** The request that is asked about. */
interface Question {
    host: string;
    target: string;
    model?: string;
    promptTokens: number;
}

/** Asks a gateway where a request would go. */
export interface ExplanationReader {
    /** Returns the gateway's answer as parsed JSON; undefined if it did not answer in time. */
    explain(gateway: string, question: Question): Promise<unknown>;
}

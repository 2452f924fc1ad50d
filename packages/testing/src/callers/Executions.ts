/** What a plain service's stand-in says it executed. */
export interface Executions {
    total: number;
    refused: number;
    byKey: Record<string, number>;
    byRequestId: Record<string, number>;
}

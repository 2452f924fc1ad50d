/** The execution counts that a stand-in of a plain service returns. */
export interface Executions {
    total: number;
    refused: number;
    byKey: Record<string, number>;
    byRequestId: Record<string, number>;
}

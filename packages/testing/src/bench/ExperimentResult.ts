/** What an experiment measured: one row for each variant and phase. */
export interface ExperimentResult {
    /** Name of the variant that the others are compared with. */
    baseline: string;
    /** What was set, for repeating the run. */
    parameters: Record<string, string | number | boolean>;
    rows: ResultRow[];
    /** Column that a chart draws. */
    chartColumn: string;
    /** What must never happen and did; any makes the bench fail. */
    violations?: string[];
}

interface ResultRow {
    variant: string;
    /** Part of the run; empty when there is one only. */
    phase: string;
    /** Values by column; names end in their unit. */
    values: Record<string, number>;
}

/** Measurements of an experiment, with one row for each variant and phase. */
export interface ExperimentResult {
    /** Name of the variant with which the others are compared. */
    baseline: string;
    /** Parameters of the run, needed to repeat it. */
    parameters: Record<string, string | number | boolean>;
    rows: ResultRow[];
    /** Column that is drawn in the chart. */
    chartColumn: string;
    /** Violated invariants; any violation makes the benchmark fail. */
    violations?: string[];
}

interface ResultRow {
    variant: string;
    /** Part of the run; empty if there is only one. */
    phase: string;
    /** Values by column; column names end in their unit. */
    values: Record<string, number>;
}

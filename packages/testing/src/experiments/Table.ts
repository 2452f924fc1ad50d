/** A titled table of results. */
export interface Table {
    title: string;
    /** One object per row; its keys are the column names, which end in their unit. */
    rows: ReadonlyArray<Record<string, string | number>>;
}

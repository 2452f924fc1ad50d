/** Rows of one kind under a title. */
export interface Table {
    title: string;
    /** One object a row; its keys are the columns, whose names end in their unit. */
    rows: ReadonlyArray<Record<string, string | number>>;
}

/** Data that explains a decision: ids, inputs and their age or version. */
type DecisionFields = Readonly<Record<string, unknown>>;

/** Structured log of decisions. Writing never blocks; under high load, lines are dropped and counted. */
export interface DecisionLog {
    /** Logs a decision or a change in what is known. */
    info(event: string, fields?: DecisionFields): void;

    /** Logs something that may need investigation, such as an unavailable dependency or an invalid value. */
    warn(event: string, fields?: DecisionFields): void;
}

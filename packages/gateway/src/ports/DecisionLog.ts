/** Facts that explain a decision: ids, inputs, their age or version. */
type DecisionFields = Readonly<Record<string, unknown>>;

/** Structured log of decisions. Writing never blocks; under load lines are dropped and counted. */
export interface DecisionLog {
    /** A decision or a changed belief. */
    info(event: string, fields?: DecisionFields): void;

    /** Something that needs an explanation later: a lost dependency, a foreign value. */
    warn(event: string, fields?: DecisionFields): void;
}

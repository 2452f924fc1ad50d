import type { Clock } from "@fescuehaven/runtime";
import { AttemptHistory } from "./AttemptHistory.js";

/** Callers choose the names of models, so the number of pools is limited. */
const MAX_POOLS = 64;

/** This gateway's recent attempts, by pool of upstreams. */
export class AttemptHistories {
    private readonly histories = new Map<string, AttemptHistory>();

    private constructor(private readonly clock: Clock, private readonly keptMs: number) {}

    /** Creates histories without attempts that keep them for `keptMs`. */
    static create(clock: Clock, keptMs: number): AttemptHistories {
        return new AttemptHistories(clock, keptMs);
    }

    /** Returns the history of a pool; the least recently used one is dropped if there are too many. */
    of(pool: string): AttemptHistory {
        const history = this.histories.get(pool) ?? AttemptHistory.create(this.clock, this.keptMs);
        this.histories.delete(pool);
        this.histories.set(pool, history);
        if (this.histories.size > MAX_POOLS) {
            this.histories.delete(this.histories.keys().next().value ?? "");
        }
        return history;
    }
}

/** A random source, passed in so that tests can set the seed. */
export interface Random {
    /** Returns a number in [0, 1). */
    next(): number;

    /** Returns an identifier that no other call in any process returns. */
    uniqueId(): string;
}

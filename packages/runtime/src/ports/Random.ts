/** A source of randomness, passed in so that tests can fix the seed. */
export interface Random {
    /** A number in [0, 1). */
    next(): number;

    /** An identifier that no other call in any process yields. */
    uniqueId(): string;
}

/** A client account as the operator declares it. */
export interface ClientAccount {
    name: string;
    /** Goes before the route's priority; 0 goes first. */
    priority?: number;
}

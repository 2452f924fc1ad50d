/** A client account as configured by the operator. */
export interface ClientAccount {
    name: string;
    /** Takes precedence over the route's priority; 0 is the highest. */
    priority?: number;
}

import type { RetryBudget } from "./RetryBudget.js";

/** Takes the retries of one request from the budget that all gateways share. */
export class RequestRetries {
    private hasReserved = false;

    private constructor(private readonly budget: RetryBudget, private readonly service: string) {}

    /** Creates the retries of a request that has not been sent yet. */
    static create(budget: RetryBudget, service: string): RequestRetries {
        return new RequestRetries(budget, service);
    }

    /** Takes a retry before the current attempt has ended; returns false if none is left. */
    tryReserve(): boolean {
        this.hasReserved = this.budget.tryAcquire(this.service);
        return this.hasReserved;
    }

    /** Uses the reserved retry; returns false if there is none. */
    useReserved(): boolean {
        const { hasReserved } = this;
        this.hasReserved = false;
        return hasReserved;
    }

    /**
     * Takes a retry after an attempt; returns false if none is left. The budget limits arrivals: what it was charged for
     * an attempt that did not arrive pays for the next one.
     */
    tryTake(hasArrived: boolean): boolean {
        return !hasArrived || this.budget.tryAcquire(this.service);
    }
}

interface Bucket {
    tokens: number;
}

/** Each successful call adds this part of a further attempt to the budget. */
const RETRIES_PER_SUCCESS = 0.2;
/** Further attempts that an account has at first and at most. */
const ACCOUNT_CAPACITY = 100;
/** Further attempts that all accounts together have at first and at most. */
const TOTAL_CAPACITY = 500;

/**
 * Limits further attempts in proportion to successful calls, for each client account and in total, so that retries
 * cannot multiply the load.
 */
export class RetryBudget {
    private readonly total: Bucket = { tokens: TOTAL_CAPACITY };
    private readonly accounts = new Map<string, Bucket>();

    private constructor() {}

    /** Creates a full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Takes one further attempt from the budget; returns false when the budget of the account or in total is spent. */
    trySpend(account: string): boolean {
        const accountBucket = this.bucket(account);
        if (accountBucket.tokens < 1 || this.total.tokens < 1) {
            return false;
        }
        accountBucket.tokens -= 1;
        this.total.tokens -= 1;
        return true;
    }

    /** Records a successful call. */
    recordSuccess(account: string): void {
        const accountBucket = this.bucket(account);
        accountBucket.tokens = Math.min(ACCOUNT_CAPACITY, accountBucket.tokens + RETRIES_PER_SUCCESS);
        this.total.tokens = Math.min(TOTAL_CAPACITY, this.total.tokens + RETRIES_PER_SUCCESS);
    }

    private bucket(account: string): Bucket {
        let bucket = this.accounts.get(account);
        if (!bucket) {
            bucket = { tokens: ACCOUNT_CAPACITY };
            this.accounts.set(account, bucket);
        }
        return bucket;
    }
}

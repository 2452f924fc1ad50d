interface Bucket {
    tokens: number;
}

/** Further attempts that each success pays for. */
const RATIO = 0.2;
/** Further attempts that are allowed before any success, and at most held. */
const ACCOUNT_CAPACITY = 100;
const TOTAL_CAPACITY = 500;

/** Bounds further attempts by past successes, for each client account and over all, so that retries cannot multiply load. */
export class RetryBudget {
    private readonly total: Bucket = { tokens: TOTAL_CAPACITY };
    private readonly accounts = new Map<string, Bucket>();

    private constructor() {}

    /** Creates a full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Pays for one further attempt, or says that there is no budget left. */
    trySpend(account: string): boolean {
        const own = this.bucket(account);
        if (own.tokens < 1 || this.total.tokens < 1) {
            return false;
        }
        own.tokens -= 1;
        this.total.tokens -= 1;
        return true;
    }

    /** Notes an answered call. */
    succeeded(account: string): void {
        const own = this.bucket(account);
        own.tokens = Math.min(ACCOUNT_CAPACITY, own.tokens + RATIO);
        this.total.tokens = Math.min(TOTAL_CAPACITY, this.total.tokens + RATIO);
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

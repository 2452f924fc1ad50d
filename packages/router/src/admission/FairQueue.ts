interface FairQueueItem {
    account: string;
    /** Capacity of the account relative to other accounts. */
    weight: number;
}

interface AccountQueue<T> {
    waiting: Array<{ item: T; finishTag: number; }>;
    lastFinishTag: number;
}

/**
 * Self-clocked weighted fair queue over client accounts. Every call has the same cost: an account of weight 2 is served
 * twice as often as one of weight 1 while both have calls waiting.
 */
export class FairQueue<T extends FairQueueItem> {
    private readonly accounts = new Map<string, AccountQueue<T>>();
    private virtualTime = 0;
    private count = 0;

    private constructor() {}

    /** Creates an empty queue. */
    static create<T extends FairQueueItem>(): FairQueue<T> {
        return new FairQueue<T>();
    }

    /** Number of waiting calls. */
    get size(): number {
        return this.count;
    }

    /** Returns the number of waiting calls of an account. */
    sizeOf(account: string): number {
        return this.accounts.get(account)?.waiting.length ?? 0;
    }

    /** Adds a call and returns the number of calls that will be served before it. */
    push(item: T): number {
        const queue = this.accounts.get(item.account) ?? { waiting: [], lastFinishTag: 0 };
        this.accounts.set(item.account, queue);
        const finishTag = Math.max(this.virtualTime, queue.lastFinishTag) + 1 / item.weight;
        queue.lastFinishTag = finishTag;
        queue.waiting.push({ item, finishTag });
        this.count += 1;
        return this.countBefore(finishTag);
    }

    /** Returns the oldest waiting call of each account, in the order in which they are to be served. */
    heads(): T[] {
        return [...this.accounts.values()]
            .flatMap(queue => queue.waiting.slice(0, 1))
            .sort((a, b) => a.finishTag - b.finishTag)
            .map(entry => entry.item);
    }

    /** Removes a call that is being served, and advances the virtual time. */
    serve(item: T): void {
        const finishTag = this.removeItem(item);
        if (finishTag !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, finishTag);
        }
    }

    /** Removes a call that is not served; the virtual time stays. */
    remove(item: T): void {
        this.removeItem(item);
    }

    private removeItem(item: T): number | undefined {
        const queue = this.accounts.get(item.account);
        const index = queue?.waiting.findIndex(entry => entry.item === item) ?? -1;
        if (!queue || index < 0) {
            return undefined;
        }
        const [entry] = queue.waiting.splice(index, 1);
        this.count -= 1;
        if (queue.waiting.length === 0 && queue.lastFinishTag <= this.virtualTime) {
            this.accounts.delete(item.account);
        }
        return entry?.finishTag;
    }

    private countBefore(finishTag: number): number {
        let count = 0;
        for (const queue of this.accounts.values()) {
            for (const entry of queue.waiting) {
                if (entry.finishTag >= finishTag) {
                    break;
                }
                count += 1;
            }
        }
        return count;
    }
}

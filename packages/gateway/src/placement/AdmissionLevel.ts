import type { RankDemand } from "./RankDemand.js";

/** Shares of one rank's requests that are admitted. */
interface RankLevel {
    rank: number;
    /** Share of accounts that are not listed. */
    ratio: number;
    /** Shares of the accounts with the most requests. */
    byAccount: ReadonlyMap<number, number>;
    retryAfterMs: number;
}

/**
 * No rank or account is admitted at less than this fraction of the pool's mean ratio. Operators regard a route or account
 * that is served less than a quarter as often as all as starved; the rest is a margin for random draws.
 */
const MIN_FRACTION_OF_MEAN = 0.3;
/** No account is admitted at less than this fraction of its rank's ratio. */
const MIN_FRACTION_OF_RANK = 0.5;
/** A caller that returns sooner would find the same level again, which is computed twice a second. */
const MIN_RETRY_AFTER_MS = 500;
/** Callers retry within a third of their time, or not at all. */
const MAX_RETRY_AFTER_MS = 2000;
/** Halvings of the interval in which the equal share of accounts is searched: exact to a millionth. */
const BISECTIONS = 20;

/** Decides which share of a pool's requests is admitted, by rank and client account, from the demand of the whole fleet. */
export class AdmissionLevel {
    private constructor(
        /** True if not all requests can be admitted. */
        readonly isShort: boolean,
        private readonly ranks: readonly RankLevel[],
        private readonly minRatio: number,
        /** Most urgent rank that does not get all that it asks for. */
        private readonly firstLimitedRank: number,
    ) {}

    /** Computes the level for the demand of one second, most urgent rank first. */
    static create(demand: readonly RankDemand[], capacityPerSecond: number): AdmissionLevel {
        const offered = demand.reduce((sum, rank) => sum + rank.offered, 0);
        if (offered <= capacityPerSecond) {
            return new AdmissionLevel(false, [], 1, Infinity);
        }
        const minRatio = MIN_FRACTION_OF_MEAN * capacityPerSecond / offered;
        let free = capacityPerSecond - minRatio * offered;
        let firstLimitedRank = Infinity;
        const ranks = demand.filter(rank => rank.offered > 0).map(rank => {
            const guaranteed = minRatio * rank.offered;
            const admitted = Math.min(rank.offered, guaranteed + free);
            free = Math.max(0, free - (admitted - guaranteed));
            if (admitted < rank.offered) {
                firstLimitedRank = Math.min(firstLimitedRank, rank.rank);
            }
            return levelOf(rank, admitted, minRatio);
        });
        return new AdmissionLevel(true, ranks, minRatio, firstLimitedRank);
    }

    /** Returns the share of an account's requests of a rank that is admitted, 0 to 1. */
    ratioOf(rank: number, account?: number): number {
        const level = this.ranks.find(other => other.rank === rank);
        if (!level) {
            return rank < this.firstLimitedRank ? 1 : this.minRatio;
        }
        return (account === undefined ? undefined : level.byAccount.get(account)) ?? level.ratio;
    }

    /** Returns the time after which the fleet will have capacity for what it refuses of a rank now. */
    retryAfterMs(rank: number): number {
        return this.ranks.find(other => other.rank === rank)?.retryAfterMs ?? MAX_RETRY_AFTER_MS;
    }
}

/** Shares what a rank may have among its accounts by max-min fairness. */
function levelOf({ rank, offered, accounts }: RankDemand, admitted: number, minRatio: number): RankLevel {
    const ratio = admitted / offered;
    const listed = accounts.reduce((sum, [, count]) => sum + count, 0);
    const smallest = accounts.at(-1)?.[1] ?? 0;
    const rest = Math.max(0, offered - listed);
    // Accounts that are not listed have at most as many requests as the smallest listed one.
    const unlisted = smallest > 0 ? Math.max(1, rest / smallest) : 1;
    const minOfAll = Math.min(ratio, Math.max(MIN_FRACTION_OF_RANK * ratio, minRatio));
    const shareOf = (count: number, equalShare: number) => Math.max(minOfAll * count, Math.min(count, equalShare));
    const sumAt = (equalShare: number) =>
        accounts.reduce((sum, [, count]) => sum + shareOf(count, equalShare), 0)
        + unlisted * shareOf(rest / unlisted, equalShare);
    let low = 0;
    let high = offered;
    for (let step = 0; step < BISECTIONS; step++) {
        const middle = (low + high) / 2;
        if (sumAt(middle) > admitted) {
            high = middle;
        }
        else {
            low = middle;
        }
    }
    const ratioAt = (count: number) => count > 0 ? shareOf(count, low) / count : ratio;
    const refusedPerAdmitted = (offered - admitted) / admitted;
    return {
        rank,
        ratio: smallest > 0 ? ratioAt(rest / unlisted) : ratio,
        byAccount: new Map(accounts.map(([account, count]) => [account, ratioAt(count)])),
        retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, 1000 * refusedPerAdmitted)),
    };
}

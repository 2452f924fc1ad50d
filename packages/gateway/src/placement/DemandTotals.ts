import type { DemandCounts } from "./DemandCounts.js";
import type { PoolDemand } from "./PoolDemand.js";
import type { RankDemand } from "./RankDemand.js";

interface RankTotals extends DemandCounts {
    rank: number;
    accounts: Map<number, number>;
}

interface PoolTotals extends Omit<PoolDemand, "ranks"> {
    ranks: Map<number, RankTotals>;
}

/** From this share of refused and late requests on, a rank may get less than it asks for. */
const SHORT_SHARE = 0.01;
/** Accounts that are named for each rank: a shortage is usually caused by one, and each one costs ten bytes. */
const MAX_ACCOUNTS = 4;

/** Sum of the demand of several gateways. */
export class DemandTotals {
    private readonly pools = new Map<string, PoolTotals>();

    private constructor() {}

    /** Creates a sum without requests. */
    static create(): DemandTotals {
        return new DemandTotals();
    }

    /** Counts one outcome. */
    count(pool: Omit<PoolDemand, "ranks">, rank: number, kind: keyof DemandCounts, account: number | undefined): void {
        const totals = rankOf(this.poolOf(pool), rank);
        totals[kind] += 1;
        if (kind === "offered" && account !== undefined) {
            totals.accounts.set(account, (totals.accounts.get(account) ?? 0) + 1);
        }
    }

    /** Adds demand; subtracts it with the factor -1. */
    add(pools: readonly PoolDemand[], factor: 1 | -1 = 1): void {
        for (const pool of pools) {
            const totals = this.poolOf(pool);
            for (const { rank, offered, admitted, refused, late, accounts } of pool.ranks) {
                const ofRank = rankOf(totals, rank);
                ofRank.offered += factor * offered;
                ofRank.admitted += factor * admitted;
                ofRank.refused += factor * refused;
                ofRank.late += factor * late;
                for (const [account, count] of accounts) {
                    ofRank.accounts.set(account, (ofRank.accounts.get(account) ?? 0) + factor * count);
                }
            }
        }
    }

    /**
     * Returns the sums of all pools with requests. With `areAccountsForShortage`, accounts are named only for ranks with
     * refused or late requests: they matter during a shortage only, and are more than half of the bytes.
     */
    report(areAccountsForShortage = false): PoolDemand[] {
        return [...this.pools.values()]
            .map(({ service, model, zone, ranks }) => ({ service, model, zone, ranks: toRankDemand(ranks) }))
            .filter(({ ranks }) => ranks.length > 0)
            .map(pool => areAccountsForShortage ? { ...pool, ranks: pool.ranks.map(withNeededAccounts) } : pool);
    }

    /** Returns the ranks of a model's requests that arrived in a zone, or in any zone. */
    ranks(service: string, model: string, zone?: string): RankDemand[] {
        const merged = DemandTotals.create();
        for (const pool of this.pools.values()) {
            if (pool.service === service && pool.model === model && (zone === undefined || pool.zone === zone)) {
                merged.add([{ service, model, zone: "", ranks: toRankDemand(pool.ranks, Infinity) }]);
            }
        }
        return merged.report()[0]?.ranks.slice() ?? [];
    }

    private poolOf({ service, model, zone }: Omit<PoolDemand, "ranks">): PoolTotals {
        const key = `${service}\n${model}\n${zone}`;
        const pool = this.pools.get(key) ?? { service, model, zone, ranks: new Map<number, RankTotals>() };
        this.pools.set(key, pool);
        return pool;
    }
}

function rankOf({ ranks }: PoolTotals, rank: number): RankTotals {
    const totals = ranks.get(rank) ?? { rank, offered: 0, admitted: 0, refused: 0, late: 0, accounts: new Map() };
    ranks.set(rank, totals);
    return totals;
}

function withNeededAccounts(demand: RankDemand): RankDemand {
    const isShort = demand.refused + demand.late > SHORT_SHARE * demand.offered;
    return isShort ? demand : { ...demand, accounts: [] };
}

function toRankDemand(ranks: ReadonlyMap<number, RankTotals>, maxAccounts = MAX_ACCOUNTS): RankDemand[] {
    return [...ranks.values()]
        .filter(({ offered, admitted, refused, late }) => offered + admitted + refused + late > 0)
        .sort((left, right) => left.rank - right.rank)
        .map(totals => ({
            ...totals,
            accounts: [...totals.accounts]
                .filter(([, offered]) => offered > 0)
                .sort(([leftName, left], [rightName, right]) => right - left || leftName - rightName)
                .slice(0, maxAccounts),
        }));
}

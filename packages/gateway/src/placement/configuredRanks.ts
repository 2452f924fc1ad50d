import type { ServingConfiguration } from "../model/ServingConfiguration.js";
import { memoizeByObject } from "../util/memoizeByObject.js";
import { rankOf } from "./rankOf.js";

/** Ranks of a service's streams, and the tightest target among its routes. */
interface ServiceRanks {
    /** Most urgent first. */
    ranks: readonly number[];
    targetLatencyMs: number;
}

/** Returns the ranks to which the routes and client accounts of a configuration lead, by service. Computed once. */
export const configuredRanks: (configuration: ServingConfiguration) => ReadonlyMap<string, ServiceRanks> =
    memoizeByObject((configuration: ServingConfiguration) => {
        const accounts = [...new Set([...configuration.accountsByKey.values()].map(({ priority }) => priority))]
            .map(priority => ({ priority }));
        const byService = new Map<string, ServiceRanks>();
        for (const service of configuration.services.keys()) {
            const routes = configuration.routes.filter(({ kind, targets }) =>
                kind === "stream" && targets.some(target => target.service === service && target.weight > 0)
            );
            const ranks = routes.flatMap(route => {
                const needsNoAccount = route.isPublic || !configuration.hasAccounts;
                return [...accounts, ...needsNoAccount ? [undefined] : []].map(account => rankOf(route, account));
            });
            byService.set(service, {
                ranks: [...new Set(ranks)].sort((left, right) => left - right),
                targetLatencyMs: Math.min(...routes.map(({ targetLatencyMs }) => targetLatencyMs)),
            });
        }
        return byService;
    });

import type { ClientAccount } from "../model/ClientAccount.js";
import type { Route } from "../model/Route.js";

/** Priority of requests without an account, and of accounts without one: that of routes that state none. */
const DEFAULT_ACCOUNT_PRIORITY = 1;
/** Priorities above it count as equal, so that a rank needs two bytes between gateways. */
const MAX_PRIORITY = 99;

/**
 * Returns the rank of a request: ordered by the priority of its account, then by that of its route. Lower ranks are more
 * urgent.
 */
export function rankOf(route: Pick<Route, "priority">, account: Pick<ClientAccount, "priority"> | undefined): number {
    return limit(account?.priority ?? DEFAULT_ACCOUNT_PRIORITY) * (MAX_PRIORITY + 1) + limit(route.priority);
}

function limit(priority: number): number {
    return Math.min(MAX_PRIORITY, Math.max(0, Math.round(priority)));
}

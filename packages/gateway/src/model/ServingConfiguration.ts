import type { ClientAccount } from "./ClientAccount.js";
import type { IngressLimits } from "./IngressLimits.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** One version of the complete configuration set by the operator. */
export interface ServingConfiguration {
    version: number;
    routes: readonly Route[];
    services: ReadonlyMap<string, Service>;
    /** False if no client accounts are configured; then no request needs an API key. */
    hasAccounts: boolean;
    accountsByKey: ReadonlyMap<string, ClientAccount>;
    limits: IngressLimits;
}

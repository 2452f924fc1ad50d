import type { ClientAccount } from "./ClientAccount.js";
import type { IngressLimits } from "./IngressLimits.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** Everything that the operator declares, in one version. */
export interface ServingConfiguration {
    version: number;
    routes: readonly Route[];
    services: ReadonlyMap<string, Service>;
    /** Without client accounts no request needs a key. */
    hasAccounts: boolean;
    accountsByKey: ReadonlyMap<string, ClientAccount>;
    limits: IngressLimits;
}

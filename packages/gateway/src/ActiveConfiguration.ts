import type { Route } from "./model/Route.js";
import type { ServingConfiguration } from "./model/ServingConfiguration.js";
import type { DecisionLog } from "./ports/DecisionLog.js";

/** The active configuration. It is never replaced by an older version. */
export class ActiveConfiguration {
    private configuration: ServingConfiguration | undefined;
    private value: unknown;
    private routesByHost = new Map<string, Route[]>();
    private isStoreBehind = false;
    private readonly listeners = new Set<(configuration: ServingConfiguration) => void>();

    private constructor(private readonly log: DecisionLog) {}

    /** Creates an instance without a configuration. */
    static create(log: DecisionLog): ActiveConfiguration {
        return new ActiveConfiguration(log);
    }

    /** The active configuration, or undefined if none has become active yet. */
    get current(): ServingConfiguration | undefined {
        return this.configuration;
    }

    /** The active configuration in its stored form, or undefined if none has become active yet. */
    get storedValue(): unknown {
        return this.value;
    }

    /** Calls `listener` with every configuration that becomes active. */
    onChange(listener: (configuration: ServingConfiguration) => void): void {
        this.listeners.add(listener);
    }

    /** Activates a configuration, whose stored form is `value`, if it is newer than the active one. */
    adopt(
        configuration: ServingConfiguration,
        value?: unknown,
        logFields: Readonly<Record<string, unknown>> = {},
    ): void {
        const before = this.configuration?.version;
        this.setStoreBehind(configuration.version < (before ?? 0), configuration.version);
        if (before !== undefined && configuration.version <= before) {
            return;
        }
        this.configuration = configuration;
        this.value = value;
        this.routesByHost = indexByHost(configuration.routes);
        this.log.info("configuration activated", {
            version: configuration.version,
            before,
            routes: configuration.routes.length,
            ...logFields,
        });
        this.listeners.forEach(listener => listener(configuration));
    }

    /** Records that the store has no configuration. */
    recordAbsence(): void {
        this.setStoreBehind(this.configuration !== undefined);
    }

    private setStoreBehind(isBehind: boolean, version?: number): void {
        if (isBehind && !this.isStoreBehind) {
            this.log.warn("the store's configuration is older than the active one, which stays active", {
                version,
                active: this.configuration?.version,
            });
        }
        this.isStoreBehind = isBehind;
    }

    /** Returns the route of the host with the longest matching path prefix, or undefined if no route matches. */
    match(hostHeader: string, target: string): Route | undefined {
        const host = hostHeader.replace(/:\d+$/, "").toLowerCase();
        const path = target.split("?", 1)[0] ?? "";
        return this.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
    }
}

function indexByHost(routes: readonly Route[]): Map<string, Route[]> {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
        byHost.set(route.host, [...byHost.get(route.host) ?? [], route]);
    }
    byHost.forEach(list => list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    return byHost;
}

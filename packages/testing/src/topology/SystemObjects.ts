import { createHash } from "node:crypto";
import { z } from "zod";
import type { Account } from "../callers/Account.js";
import type { NamedObject } from "./NamedObject.js";
import { shortName } from "./shortName.js";
import type { SystemTopology } from "./SystemTopology.js";

const optionsSchema = z.strictObject({
    model: z.string().default("dive-report"),
    modelVersion: z.string().default("dive-report-1"),
    weightsPerMemberGiB: z.number().positive().default(2),
    groupsPerZone: z.number().int().nonnegative().default(1),
    memberCount: z.number().int().positive().default(2),
    maxConcurrentRequests: z.number().int().positive().default(32),
    coldConcurrentRequests: z.number().int().positive().default(4),
    /** Number of client accounts; the first few are large. */
    accounts: z.number().int().positive().default(10),
    serviceConcurrentRequests: z.number().int().positive().default(64),
});

/** Number of accounts that have a large share of the calls. */
const LARGE_ACCOUNTS = 3;

/** Objects that a topology needs to serve: a model version, serving groups, routes, client accounts, a plain service. */
export class SystemObjects {
    /** Client accounts with their API keys. */
    readonly accounts: readonly Account[];

    private constructor(
        private readonly topology: SystemTopology,
        readonly options: z.infer<typeof optionsSchema>,
    ) {
        this.accounts = Array.from({ length: options.accounts }, (_, index) => ({
            name: `account-${index + 1}`,
            apiKey: `key-of-account-${index + 1}`,
            share: index < LARGE_ACCOUNTS ? 5 : 1,
        }));
    }

    /** Creates the objects; omitted options have their defaults. */
    static create(topology: SystemTopology, options: z.input<typeof optionsSchema> = {}): SystemObjects {
        return new SystemObjects(topology, optionsSchema.parse(options));
    }

    /** Returns the names of all serving groups. */
    groupNames(): string[] {
        return this.topology.options.zones.flatMap(zone => this.groupNamesOf(zone));
    }

    /** Returns the names of a zone's serving groups. */
    groupNamesOf(zone: string): string[] {
        return Array.from(
            { length: this.options.groupsPerZone },
            (_, index) => `${this.options.model}-${shortName(zone)}-${index + 1}`,
        );
    }

    /** Returns all objects in the order in which they have to be written. */
    all(): NamedObject[] {
        return [
            this.modelVersion(),
            ...this.topology.options.zones.flatMap(zone => this.groupNamesOf(zone).map(name => this.group(name, zone))),
            this.service(),
            ...this.routes(),
            ...this.accounts.map(account => this.clientAccount(account)),
        ];
    }

    /** Returns a serving group of a zone. */
    group(name: string, zone: string): NamedObject {
        const { modelVersion, memberCount, maxConcurrentRequests, coldConcurrentRequests } = this.options;
        const value = { zone, modelVersion, memberCount, maxConcurrentRequests, coldConcurrentRequests };
        return { kind: "serving-group", name, value };
    }

    /** Returns a maintenance intent that takes an availability zone out of service. */
    zoneDrainIntent(zone: string): NamedObject {
        const target = { kind: "availability-zone", name: zone };
        return {
            kind: "maintenance-intent",
            name: `${zone}-out`,
            value: { target, reason: "planned work", requestedBy: "operator" },
        };
    }

    private modelVersion(): NamedObject {
        const { model, modelVersion, weightsPerMemberGiB } = this.options;
        return { kind: "model-version", name: modelVersion, value: { model, version: "1", weightsPerMemberGiB } };
    }

    private service(): NamedObject {
        const concurrent = this.options.serviceConcurrentRequests;
        const endpoints = this.topology.options.zones.map(zone => ({
            name: `booking-${shortName(zone)}`,
            zone,
            url: this.topology.serviceUrl(zone),
            maxConcurrentRequests: concurrent,
            coldConcurrentRequests: Math.max(1, Math.floor(concurrent / 2)),
        }));
        return { kind: "service", name: "booking", value: { endpoints } };
    }

    private routes(): NamedObject[] {
        const { model, modelVersion } = this.options;
        const service = (name: string, path: string, repeatable: boolean): NamedObject => ({
            kind: "route",
            name,
            value: { target: { kind: "service", service: "booking", path, repeatable }, timeoutMs: 30_000 },
        });
        const versions = [{ modelVersion, weight: 100 }];
        return [
            { kind: "route", name: model, value: { target: { kind: "model", model, versions }, timeoutMs: 60_000 } },
            service("lookup", "/lookup", true),
            service("book", "/book", false),
        ];
    }

    private clientAccount(account: Account): NamedObject {
        return {
            kind: "client-account",
            name: account.name,
            value: {
                apiKeySha256: createHash("sha256").update(account.apiKey).digest("hex"),
                weight: account.share,
                maxConcurrentRequests: 200,
                maxQueuedRequests: 200,
                priority: 5,
            },
        };
    }
}

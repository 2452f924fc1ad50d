import type { ConfigurationView } from "@fescuehaven/coordination";
import type { ClientAccount } from "@fescuehaven/resources";
import { createHash } from "node:crypto";
import type { Caller } from "./Caller.js";

/** Looks up client accounts by API key. */
export class AccountDirectory {
    private seenVersion = -1;
    private readonly callers = new Map<string, Caller>();

    private constructor(private readonly configuration: ConfigurationView) {}

    /** Creates a directory of the accounts in the active configuration. */
    static create(configuration: ConfigurationView): AccountDirectory {
        return new AccountDirectory(configuration);
    }

    /** Returns the account whose API key the `authorization` header carries; undefined without a known key. */
    find(authorization: string | undefined): Caller | undefined {
        const key = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
        if (key === undefined) {
            return undefined;
        }
        this.refresh();
        return this.callers.get(createHash("sha256").update(key).digest("hex"));
    }

    private refresh(): void {
        if (this.seenVersion === this.configuration.version) {
            return;
        }
        this.seenVersion = this.configuration.version;
        this.callers.clear();
        for (const { name, value } of this.configuration.list("client-account")) {
            this.callers.set(value.apiKeySha256, toCaller(name, value));
        }
    }
}

function toCaller(name: string, account: ClientAccount): Caller {
    return {
        account: name,
        weight: account.weight,
        maxConcurrentRequests: account.maxConcurrentRequests,
        maxQueuedRequests: account.maxQueuedRequests,
        priority: account.priority,
    };
}

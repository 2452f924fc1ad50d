import type { Clock, Random } from "@fescuehaven/runtime";
import { createHash } from "node:crypto";
import type { Account } from "../callers/Account.js";
import { CallerClient } from "../callers/CallerClient.js";
import type { CallOutcome } from "../callers/CallOutcome.js";
import { promptOf } from "../callers/promptOf.js";
import { ResponseChecker } from "../callers/ResponseChecker.js";
import { expectedTokens } from "../standins/expectedTokens.js";

/** Number of tokens of each response. */
const MAX_TOKENS = 40;

/** Timeout of each call. */
const TIMEOUT_MS = 20_000;

interface DemoCallsOptions {
    clock: Clock;
    random: Random;
    account: Account;
    model: string;
    modelVersion: string;
}

/** Sends the demo's calls through a router and checks each response. */
export class DemoCalls {
    /** Counts responses by class. */
    readonly checker = ResponseChecker.create();
    /** Request id of the last chat call. */
    lastRequestId = "";
    private readonly client: CallerClient;

    private constructor(private readonly options: DemoCallsOptions) {
        this.client = CallerClient.create({ clock: options.clock });
    }

    /** Creates the sender of the calls; opens no connection yet. */
    static create(options: DemoCallsOptions): DemoCalls {
        return new DemoCalls(options);
    }

    /**
     * Sends a streamed and a non-streamed chat call, and a repeatable and a keyed service call. Returns a line about each
     * response that is not complete and correct.
     */
    async callRouter(routerUrl: string): Promise<string[]> {
        return [
            ...await this.chat(routerUrl, true),
            ...await this.chat(routerUrl, false),
            ...await this.service(routerUrl, "lookup", undefined),
            ...await this.service(routerUrl, "book", `booking-${this.options.random.uniqueId()}`),
        ];
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.client.close();
    }

    private async chat(routerUrl: string, stream: boolean): Promise<string[]> {
        const { random, account, model, modelVersion } = this.options;
        const requestId = random.uniqueId();
        const content = `Summarise the fouling inspection ${requestId}.`;
        const call = { requestId, account, model, content, maxTokens: MAX_TOKENS, stream, timeoutMs: TIMEOUT_MS };
        const { outcome } = await this.client.chat(routerUrl, call);
        this.lastRequestId = requestId;
        return this.check(`chat ${routerUrl}`, expectedTokens(modelVersion, promptOf(call), MAX_TOKENS), outcome);
    }

    private async service(routerUrl: string, route: string, idempotencyKey: string | undefined): Promise<string[]> {
        const { random, clock, account } = this.options;
        const body = `crew for hull ${random.uniqueId()}`;
        const { outcome } = await this.client.service(routerUrl, {
            requestId: random.uniqueId(),
            account,
            route,
            body,
            idempotencyKey,
            issuedAt: clock.now().toISOString(),
            timeoutMs: TIMEOUT_MS,
        });
        const expected = createHash("sha256").update(body).digest("hex");
        return this.check(`${route} ${routerUrl}`, [expected], withOnlyHash(outcome));
    }

    private check(title: string, expected: readonly string[], outcome: CallOutcome): string[] {
        const responseClass = this.checker.check(expected, outcome);
        return responseClass === "correct" ? [] : [`${title}: ${responseClass} ${JSON.stringify(outcome)}`];
    }
}

function withOnlyHash(outcome: CallOutcome): CallOutcome {
    if (outcome.kind !== "answered") {
        return outcome;
    }
    const { bodySha256 } = JSON.parse(outcome.parts.join("")) as { bodySha256: string; };
    return { ...outcome, parts: [bodySha256] };
}

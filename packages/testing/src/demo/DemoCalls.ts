import type { Clock, Random } from "@fescuehaven/runtime";
import { createHash } from "node:crypto";
import type { Account } from "../callers/Account.js";
import { CallerClient } from "../callers/CallerClient.js";
import type { CallOutcome } from "../callers/CallOutcome.js";
import { promptOf } from "../callers/promptOf.js";
import { ResponseChecker } from "../callers/ResponseChecker.js";
import { expectedTokens } from "../standins/expectedTokens.js";

/** Tokens of an answer. */
const MAX_TOKENS = 40;

/** Longest time of a call, ms. */
const TIMEOUT_MS = 20_000;

interface DemoCallsOptions {
    clock: Clock;
    random: Random;
    account: Account;
    model: string;
    modelVersion: string;
}

/** The demo's calls through one router after the other, each answer checked. */
export class DemoCalls {
    /** Answers by class. */
    readonly checker = ResponseChecker.create();
    /** Request id of the last chat call. */
    lastRequestId = "";
    private readonly client: CallerClient;

    private constructor(private readonly options: DemoCallsOptions) {
        this.client = CallerClient.create({ clock: options.clock });
    }

    /** Creates the calls. */
    static create(options: DemoCallsOptions): DemoCalls {
        return new DemoCalls(options);
    }

    /** Sends a streamed and a whole chat call, and a service call of each kind; gives a line about each bad answer. */
    async through(routerUrl: string): Promise<string[]> {
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
        return this.note(`chat ${routerUrl}`, expectedTokens(modelVersion, promptOf(call), MAX_TOKENS), outcome);
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
        return this.note(`${route} ${routerUrl}`, [expected], withHashAlone(outcome));
    }

    private note(title: string, expected: readonly string[], outcome: CallOutcome): string[] {
        const responseClass = this.checker.check(expected, outcome);
        return responseClass === "correct" ? [] : [`${title}: ${responseClass} ${JSON.stringify(outcome)}`];
    }
}

function withHashAlone(outcome: CallOutcome): CallOutcome {
    if (outcome.kind !== "answered") {
        return outcome;
    }
    const { bodySha256 } = JSON.parse(outcome.parts.join("")) as { bodySha256: string; };
    return { ...outcome, parts: [bodySha256] };
}

import type { Clock, Random } from "@fescuehaven/runtime";
import { createHash } from "node:crypto";
import { expectedTokens } from "../standins/expectedTokens.js";
import type { Account } from "./Account.js";
import type { Balancer } from "./Balancer.js";
import type { CallerClient } from "./CallerClient.js";
import type { CallOutcome } from "./CallOutcome.js";
import type { CallRecord } from "./CallRecord.js";
import type { ChatCall } from "./ChatCall.js";
import { promptOf } from "./promptOf.js";
import type { ResponseChecker } from "./ResponseChecker.js";
import type { ResponseClass } from "./ResponseClass.js";
import type { ServiceCall } from "./ServiceCall.js";
import type { Workload } from "./Workload.js";

/** Length of the prefix that several prompts share. */
const PREFIX_CHARACTERS = 300;

/** Classes in the order of preference when a call has several expected responses. */
const CLASS_PREFERENCE: readonly ResponseClass[] = [
    "correct",
    "refused-did-not-run",
    "refused-unknown",
    "truncated",
    "duplicated",
];

interface CallerPoolOptions {
    clock: Clock;
    random: Random;
    client: CallerClient;
    balancer: Balancer;
    /** Its counts get the class of each call's last attempt. */
    checker: ResponseChecker;
    accounts: readonly Account[];
    workload: Workload;
    model: string;
    /** Names of the model versions that may serve a chat call. */
    modelVersions: readonly string[];
    /** Names of the service routes. */
    routes: { repeatable: string; keyed: string; };
}

/** The outcome of one attempt and its class. */
interface ClassifiedOutcome {
    outcome: CallOutcome;
    responseClass: ResponseClass;
    firstPartMs: number;
}

/**
 * An open-loop load generator. It sends calls to routers that the balancer picks, repeats them when they are refused
 * or interrupted, and checks the responses.
 */
export class CallerPool {
    /** Calls that have ended, in the order in which they ended. */
    readonly records: CallRecord[] = [];
    /** Number of calls in progress. */
    inProgress = 0;

    private readonly stopping = new AbortController();

    private constructor(private readonly options: CallerPoolOptions) {}

    /** Creates a pool; it sends calls once `run` is called. */
    static create(options: CallerPoolOptions): CallerPool {
        return new CallerPool(options);
    }

    /** Sends calls for `durationMs` or until `stop` is called, then waits until all have ended. */
    async run(durationMs: number): Promise<CallRecord[]> {
        const { clock, random, workload } = this.options;
        const endMs = clock.monotonicMs() + durationMs;
        const calls: Array<Promise<void>> = [];
        let dueMs = clock.monotonicMs();
        while (!this.stopping.signal.aborted) {
            dueMs += -Math.log(1 - random.next()) * 1000 / workload.callsPerSecond;
            if (dueMs >= endMs) {
                break;
            }
            await clock.sleep(dueMs - clock.monotonicMs(), this.stopping.signal);
            if (!this.stopping.signal.aborted) {
                calls.push(this.call(dueMs));
            }
        }
        await Promise.all(calls);
        return this.records;
    }

    /** Sends no more new calls; calls in progress go on. */
    stop(): void {
        this.stopping.abort();
    }

    private async call(dueMs: number): Promise<void> {
        const { random, workload } = this.options;
        this.inProgress += 1;
        const choice = random.next();
        if (choice < workload.keyedPart) {
            await this.callService(dueMs, "keyed");
        }
        else if (choice < workload.keyedPart + workload.servicePart) {
            await this.callService(dueMs, "service");
        }
        else {
            await this.callChat(dueMs);
        }
        this.inProgress -= 1;
    }

    private async callChat(dueMs: number): Promise<void> {
        const { random, workload, model, modelVersions, client } = this.options;
        const prefix = `prefix ${Math.floor(random.next() * workload.prefixes)} `.padEnd(PREFIX_CHARACTERS, "·");
        const range = workload.maxTokens - workload.minTokens + 1;
        const call: ChatCall = {
            requestId: random.uniqueId(),
            account: this.pickAccount(),
            model,
            content: `${prefix} question ${random.uniqueId()}`,
            maxTokens: workload.minTokens + Math.floor(random.next() * range),
            stream: random.next() < workload.streamedPart,
            timeoutMs: workload.timeoutMs,
        };
        const prompt = promptOf(call);
        const expectedResponses = modelVersions.map(version => expectedTokens(version, prompt, call.maxTokens));
        await this.repeat("chat", call, undefined, dueMs, async (router, requestId) => {
            const { outcome, timing } = await client.chat(router, { ...call, requestId });
            return {
                outcome,
                responseClass: this.classify(expectedResponses, outcome),
                firstPartMs: timing.firstPartMs,
            };
        });
    }

    private async callService(dueMs: number, kind: "service" | "keyed"): Promise<void> {
        const { clock, random, workload, routes, client } = this.options;
        const call: ServiceCall = {
            requestId: random.uniqueId(),
            account: this.pickAccount(),
            route: kind === "keyed" ? routes.keyed : routes.repeatable,
            body: `booking ${random.uniqueId()}`,
            idempotencyKey: kind === "keyed" ? `key-${random.uniqueId()}` : undefined,
            issuedAt: clock.now().toISOString(),
            timeoutMs: workload.timeoutMs,
        };
        const bodySha256 = createHash("sha256").update(call.body).digest("hex");
        await this.repeat(kind, call, call.idempotencyKey, dueMs, async (router, requestId) => {
            const { outcome, timing } = await client.service(router, { ...call, requestId });
            const hashOutcome = outcome.kind === "answered"
                ? { ...outcome, parts: [bodyHashOf(outcome.parts.join(""))] }
                : outcome;
            return {
                outcome,
                responseClass: this.classify([[bodySha256]], hashOutcome),
                firstPartMs: timing.firstPartMs,
            };
        });
    }

    /**
     * Sends a call, and repeats it through other routers until the response is correct, wrong or duplicated, or until
     * no attempt or no time is left.
     */
    private async repeat(
        kind: CallRecord["kind"],
        call: ChatCall | ServiceCall,
        idempotencyKey: string | undefined,
        dueMs: number,
        attempt: (router: string, requestId: string) => Promise<ClassifiedOutcome>,
    ): Promise<void> {
        const { clock, workload, balancer, checker } = this.options;
        const attempts: CallRecord["attempts"] = [];
        let router: string | undefined;
        for (;;) {
            router = balancer.pick(router);
            const requestId = `${call.requestId}.${attempts.length + 1}`;
            const startMs = clock.monotonicMs();
            const { outcome, responseClass, firstPartMs } = await attempt(router, requestId);
            const endedAtMs = clock.monotonicMs();
            attempts.push({ requestId, router, responseClass, detail: detailOf(outcome), endedAtMs });
            const pauseMs = outcome.kind === "refused" ? outcome.retryAfterMs : workload.repeatPauseMs;
            const isLate = endedAtMs + pauseMs - dueMs >= workload.timeoutMs;
            const isLast = attempts.length >= workload.maxAttempts || isLate;
            if (responseClass === "correct" || responseClass === "wrong" || responseClass === "duplicated" || isLast) {
                checker.counts[responseClass] += 1;
                this.records.push({
                    kind,
                    isStreamed: "stream" in call && call.stream,
                    account: call.account.name,
                    idempotencyKey,
                    startedAtMs: dueMs,
                    attempts,
                    finalClass: responseClass,
                    firstPartMs: startMs - dueMs + firstPartMs,
                    totalMs: endedAtMs - dueMs,
                });
                return;
            }
            await clock.sleep(pauseMs);
        }
    }

    /** Classifies an outcome against each expected response and returns the preferred class. */
    private classify(expectedResponses: ReadonlyArray<readonly string[]>, outcome: CallOutcome): ResponseClass {
        const classes = expectedResponses.map(expected => this.options.checker.classify(expected, outcome));
        return CLASS_PREFERENCE.find(responseClass => classes.includes(responseClass)) ?? "wrong";
    }

    private pickAccount(): Account {
        const { accounts, random } = this.options;
        const total = accounts.reduce((sum, account) => sum + account.share, 0);
        let point = random.next() * total;
        const chosen = accounts.find(account => {
            point -= account.share;
            return point < 0;
        }) ?? accounts[0];
        if (!chosen) {
            throw new Error("The caller pool needs at least one client account.");
        }
        return chosen;
    }
}

function detailOf(outcome: CallOutcome): string {
    if (outcome.kind === "answered") {
        return "";
    }
    return outcome.kind === "refused" ? `${outcome.status} ${outcome.type} ran=${outcome.ran}` : outcome.reason;
}

function bodyHashOf(text: string): string {
    try {
        return (JSON.parse(text) as { bodySha256: string; }).bodySha256;
    }
    catch {
        return text;
    }
}

import type { Clock, Random } from "@fescuehaven/runtime";
import { createHash } from "node:crypto";
import { expectedTokens } from "../standins/expectedTokens.js";
import type { Account } from "./Account.js";
import type { AnswerChecker } from "./AnswerChecker.js";
import type { AnswerClass } from "./AnswerClass.js";
import type { Balancer } from "./Balancer.js";
import type { CallerClient } from "./CallerClient.js";
import type { CallOutcome } from "./CallOutcome.js";
import type { CallRecord } from "./CallRecord.js";
import type { ChatCall } from "./ChatCall.js";
import { promptOf } from "./promptOf.js";
import type { ServiceCall } from "./ServiceCall.js";
import type { Workload } from "./Workload.js";

/** Characters that calls with a common prefix share. */
const PREFIX_CHARACTERS = 300;

/** Classes that two possible answers may yield, the one that counts first. */
const PREFERENCE: readonly AnswerClass[] = ["whole", "refused-did-not-run", "refused-unknown", "cut", "duplicated"];

interface CallerPoolOptions {
    clock: Clock;
    random: Random;
    client: CallerClient;
    balancer: Balancer;
    /** Counts the last attempt of each call. */
    checker: AnswerChecker;
    accounts: readonly Account[];
    workload: Workload;
    model: string;
    /** Names of the model version objects of which one answers. */
    modelVersions: readonly string[];
    /** Names of the service routes. */
    routes: { repeatable: string; keyed: string; };
}

/** One attempt's outcome with the class that it got. */
interface Judged {
    outcome: CallOutcome;
    answerClass: AnswerClass;
    firstMs: number;
}

/** A load generator: calls arrive open-loop, go through the balancer, are repeated when refused, and are checked. */
export class CallerPool {
    /** Calls that have ended, in that order. */
    readonly records: CallRecord[] = [];
    /** Calls in progress. */
    inProgress = 0;

    private readonly stopping = new AbortController();

    private constructor(private readonly options: CallerPoolOptions) {}

    /** Creates a pool. */
    static create(options: CallerPoolOptions): CallerPool {
        return new CallerPool(options);
    }

    /** Lets calls arrive for `durationMs` or until `stop`, then waits for all to end. */
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

    /** Lets no more calls arrive. */
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
        const answers = modelVersions.map(version => expectedTokens(version, prompt, call.maxTokens));
        await this.repeat("chat", call, undefined, dueMs, async (router, requestId) => {
            const { outcome, timing } = await client.chat(router, { ...call, requestId });
            return { outcome, answerClass: this.judge(answers, outcome), firstMs: timing.firstMs };
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
            const hashed = outcome.kind === "answered"
                ? { ...outcome, parts: [hashIn(outcome.parts.join(""))] }
                : outcome;
            return { outcome, answerClass: this.judge([[bodySha256]], hashed), firstMs: timing.firstMs };
        });
    }

    /** Repeats a call through other routers until it is answered whole or no attempt is left. */
    private async repeat(
        kind: CallRecord["kind"],
        call: ChatCall | ServiceCall,
        idempotencyKey: string | undefined,
        dueMs: number,
        attempt: (router: string, requestId: string) => Promise<Judged>,
    ): Promise<void> {
        const { clock, workload, balancer, checker } = this.options;
        const attempts: CallRecord["attempts"] = [];
        let router: string | undefined;
        for (;;) {
            router = balancer.pick(router);
            const requestId = `${call.requestId}.${attempts.length + 1}`;
            const startMs = clock.monotonicMs();
            const { outcome, answerClass, firstMs } = await attempt(router, requestId);
            const endedAtMs = clock.monotonicMs();
            attempts.push({ requestId, router, answerClass, detail: detailOf(outcome), endedAtMs });
            const pauseMs = outcome.kind === "refused" ? outcome.retryAfterMs : workload.repeatPauseMs;
            const isLate = endedAtMs + pauseMs - dueMs >= workload.timeoutMs;
            const isLast = attempts.length >= workload.maxAttempts || isLate;
            if (answerClass === "whole" || answerClass === "wrong" || answerClass === "duplicated" || isLast) {
                checker.counts[answerClass] += 1;
                this.records.push({
                    kind,
                    isStreamed: "stream" in call && call.stream,
                    account: call.account.name,
                    idempotencyKey,
                    startedAtMs: dueMs,
                    attempts,
                    finalClass: answerClass,
                    firstMs: startMs - dueMs + firstMs,
                    wholeMs: endedAtMs - dueMs,
                });
                return;
            }
            await clock.sleep(pauseMs);
        }
    }

    /** The class by the answer that fits best; each answer is one that the whole call may yield. */
    private judge(answers: ReadonlyArray<readonly string[]>, outcome: CallOutcome): AnswerClass {
        const classes = answers.map(expected => this.options.checker.classify(expected, outcome));
        return PREFERENCE.find(answerClass => classes.includes(answerClass)) ?? "wrong";
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
            throw new Error("A pool needs a client account.");
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

function hashIn(text: string): string {
    try {
        return (JSON.parse(text) as { bodySha256: string; }).bodySha256;
    }
    catch {
        return text;
    }
}

import type { Clock, Random } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { ClientAccount } from "../model/ClientAccount.js";
import type { IncomingRequest } from "../model/IncomingRequest.js";
import type { Route } from "../model/Route.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { CallerResponse } from "../ports/CallerResponse.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { ForwardedCall } from "./ForwardedCall.js";
import type { PlainDispatcher } from "./PlainDispatcher.js";
import type { StreamDispatcher } from "./StreamDispatcher.js";

/** What a `RequestForwarder` is made of. */
interface RequestForwarderOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    metrics: GatewayMetrics;
    configuration: ActiveConfiguration;
    retries: RetryBudget;
    streams: StreamDispatcher;
    plain: PlainDispatcher;
}

/** Advice while no configuration is known, ms: a start takes about this long. */
const UNCONFIGURED_RETRY_AFTER_MS = 500;

/** Advice to callers of a gateway that shuts down, ms: the others take their requests at once. */
const DRAINING_RETRY_AFTER_MS = 200;
/** Time that a request may need whatever its route allows, ms: the longest streams at a busy group. */
const LONGEST_ANSWER_MS = 5000;

/** Takes requests: finds their route and account, sets their deadline and hands them to the fitting dispatcher. */
export class RequestForwarder {
    private active = 0;
    /** When the process will end, on the monotonic clock, ms. */
    private endsAtMs = Infinity;
    private readonly ending = new AbortController();

    private constructor(private readonly options: RequestForwarderOptions) {}

    /** Creates a forwarder. */
    static create(options: RequestForwarderOptions): RequestForwarder {
        return new RequestForwarder(options);
    }

    /** Requests in progress. */
    get requestsInProgress(): number {
        return this.active;
    }

    /** Begins nothing that would last beyond `endsAtMs`, when all that is left gets its final answer. */
    drain(endsAtMs: number): void {
        const { clock } = this.options;
        this.endsAtMs = endsAtMs;
        void clock.sleep(endsAtMs - clock.monotonicMs()).then(() => this.ending.abort());
    }

    /** Serves one request to its end. Never rejects. */
    async handle(request: IncomingRequest, callerResponse: CallerResponse): Promise<void> {
        this.active += 1;
        const ended = new AbortController();
        try {
            const call = this.open(request, callerResponse, ended.signal);
            if (call) {
                const { engine } = call.service;
                await (engine && call.route.kind === "stream"
                    ? this.options.streams.run(call, engine)
                    : this.options.plain.run(call));
            }
        }
        catch (error) {
            this.options.log.warn("request failed by a fault of the gateway", {
                request: request.id,
                error: error instanceof Error ? error.stack : String(error),
            });
            if (callerResponse.hasStarted) {
                callerResponse.abort();
            }
            else {
                callerResponse.refuse({ kind: "outcome-unknown", reason: "internal fault" });
            }
        }
        finally {
            ended.abort();
            this.active -= 1;
        }
    }

    private open(
        request: IncomingRequest,
        callerResponse: CallerResponse,
        ended: AbortSignal,
    ): ForwardedCall | undefined {
        const { configuration, clock, log, metrics, retries } = this.options;
        const current = configuration.current;
        if (!current) {
            const reason = "no configuration is known yet";
            metrics.count("refusals", reason);
            log.info("request refused", { request: request.id, reason });
            callerResponse.refuse({ kind: "not-run", retryAfterMs: UNCONFIGURED_RETRY_AFTER_MS, reason });
            return undefined;
        }
        const route = configuration.match(request.host, request.target);
        if (!route) {
            this.reject(request, callerResponse, current.version, { kind: "no-route" });
            return undefined;
        }
        const needsKey = current.hasAccounts && !route.isPublic;
        const account = request.apiKey === undefined ? undefined : current.accountsByKey.get(request.apiKey);
        if (needsKey && !account) {
            this.reject(request, callerResponse, current.version, { kind: "unknown-key" });
            return undefined;
        }
        const service = current.services.get(this.pickService(route));
        if (!service) {
            this.reject(request, callerResponse, current.version, { kind: "no-route" });
            return undefined;
        }
        const nowMs = clock.monotonicMs();
        if (nowMs + Math.min(route.timeoutMs, LONGEST_ANSWER_MS) > this.endsAtMs) {
            const reason = "the gateway shuts down";
            metrics.count("refusals", reason);
            log.info("request refused", { request: request.id, reason, endsInMs: Math.round(this.endsAtMs - nowMs) });
            callerResponse.refuse({ kind: "not-run", retryAfterMs: DRAINING_RETRY_AFTER_MS, reason });
            return undefined;
        }
        retries.recordRequest(service.name);
        const allowedMs = Math.min(request.callerTimeoutMs ?? route.timeoutMs, route.timeoutMs);
        const deadlineMs = request.receivedAtMs + allowedMs;
        const deadline = new AbortController();
        void clock.sleep(deadlineMs - nowMs, ended).then(() => deadline.abort());
        return {
            request,
            callerResponse,
            route,
            service,
            account: needsKey ? account?.name : undefined,
            priority: priorityOf(route, account),
            deadlineMs,
            deadline: AbortSignal.any([deadline.signal, this.ending.signal]),
            configurationVersion: current.version,
        };
    }

    private reject(
        request: IncomingRequest,
        callerResponse: CallerResponse,
        version: number,
        refusal: { kind: "no-route" | "unknown-key"; },
    ): void {
        this.options.metrics.count("refusals", refusal.kind);
        this.options.log.info("request rejected", {
            request: request.id,
            reason: refusal.kind,
            configuration: version,
            host: request.host,
        });
        callerResponse.refuse(refusal);
    }

    private pickService(route: Route): string {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let left = this.options.random.next() * total;
        for (const target of route.targets) {
            left -= target.weight;
            if (left < 0) {
                return target.service;
            }
        }
        return route.targets.at(-1)?.service ?? "";
    }
}

function priorityOf(route: Route, account: ClientAccount | undefined): number {
    return account?.priority ?? route.priority;
}

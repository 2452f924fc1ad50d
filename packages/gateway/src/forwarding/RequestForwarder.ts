import type { Clock, Random } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { ClientAccount } from "../model/ClientAccount.js";
import type { IncomingRequest } from "../model/IncomingRequest.js";
import type { Route } from "../model/Route.js";
import type { Service } from "../model/Service.js";
import type { CrashGuard } from "../placement/CrashGuard.js";
import { rankOf } from "../placement/rankOf.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { CallerResponse } from "../ports/CallerResponse.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import { fingerprintOf } from "./fingerprintOf.js";
import type { ForwardedCall } from "./ForwardedCall.js";
import type { PlainDispatcher } from "./PlainDispatcher.js";
import type { StreamDispatcher } from "./StreamDispatcher.js";

interface RequestForwarderOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    metrics: GatewayMetrics;
    configuration: ActiveConfiguration;
    /** Time since the view of the configuration was last updated. */
    configurationAgeMs: () => number;
    /** Resolves to true once the active configuration is known to be the newest; false if that cannot be found out. */
    verifyConfiguration: () => Promise<boolean>;
    retryBudget: RetryBudget;
    crashGuard: CrashGuard;
    streams: StreamDispatcher;
    plain: PlainDispatcher;
    /** Returns false while this gateway reaches no upstream of a service, and knows no other gateway that does. */
    isReachable: (service: string) => boolean;
}

/** The active configuration does not allow a request. */
interface Denial {
    kind: "no-route" | "unknown-key";
    version: number;
}

/** What the active configuration says of a request. */
type MatchOutcome =
    | {
        kind: "matched";
        version: number;
        route: Route;
        service: Service;
        account: ClientAccount | undefined;
        /** Name of the account; undefined if the route needs none. */
        accountName: string | undefined;
    }
    | Denial
    /** It does not allow the request, but may not be the newest one. */
    | { kind: "unverified"; }
    | { kind: "unconfigured"; };

/** Retry-after delay while no configuration is known: a gateway takes about this long to start. */
const UNCONFIGURED_RETRY_AFTER_MS = 500;

/** Retry-after delay of what only this gateway refuses: the other gateways accept requests at once. */
const OTHER_GATEWAYS_RETRY_AFTER_MS = 200;

/** How requests are refused for which it is not known whether they are allowed. */
const undecidedRefusals = {
    unverified: { reason: "the newest configuration is not known", retryAfterMs: OTHER_GATEWAYS_RETRY_AFTER_MS },
    unconfigured: { reason: "no configuration is known yet", retryAfterMs: UNCONFIGURED_RETRY_AFTER_MS },
} as const;

/**
 * Longest time that a request which may be sent again is assumed to need, even if its route's timeout is longer: the
 * duration of the longest streams at a busy group. Any other may take all of its time.
 */
const LONGEST_REPEATABLE_RESPONSE_MS = 5000;

/** Finds the route and account of each request, sets its deadline and passes it to the route's dispatcher. */
export class RequestForwarder {
    private activeRequests = 0;
    /** When the shutdown ends, on the monotonic clock; Infinity if the gateway is not shutting down. */
    private endsAtMs = Infinity;
    private readonly shutdownEnd = new AbortController();

    private constructor(private readonly options: RequestForwarderOptions) {}

    /** Creates a forwarder. */
    static create(options: RequestForwarderOptions): RequestForwarder {
        return new RequestForwarder(options);
    }

    /** Number of requests in progress. */
    get requestsInProgress(): number {
        return this.activeRequests;
    }

    /** Refuses requests that would last beyond `endsAtMs`, when all requests in progress get their final response. */
    drain(endsAtMs: number): void {
        const { clock } = this.options;
        this.endsAtMs = endsAtMs;
        void clock.sleep(endsAtMs - clock.monotonicMs()).then(() => this.shutdownEnd.abort());
    }

    /** Serves one request until its response has ended. Never rejects. */
    async handle(request: IncomingRequest, callerResponse: CallerResponse): Promise<void> {
        this.activeRequests += 1;
        const requestEnded = new AbortController();
        try {
            const matched = this.match(request);
            const verified = isDenial(matched) ? await this.verify(request) : matched;
            const call = verified.kind === "matched"
                ? this.createCall(request, callerResponse, verified, requestEnded.signal)
                : this.refuseUnmatched(request, callerResponse, verified);
            if (call) {
                const { engine } = call.service;
                await (engine && call.route.kind === "stream"
                    ? this.options.streams.run(call, engine)
                    : this.options.plain.run(call));
            }
        }
        catch (error) {
            this.options.log.warn("request failed because of an internal error", {
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
            requestEnded.abort();
            this.activeRequests -= 1;
        }
    }

    /** Matches a request again once the configuration is known to be the newest: its route or key may have been added. */
    private async verify(request: IncomingRequest): Promise<MatchOutcome> {
        return await this.options.verifyConfiguration() ? this.match(request) : { kind: "unverified" };
    }

    private refuseUnmatched(
        request: IncomingRequest,
        callerResponse: CallerResponse,
        outcome: Exclude<MatchOutcome, { kind: "matched"; }>,
    ): undefined {
        if (isDenial(outcome)) {
            this.reject(request, callerResponse, outcome);
        }
        else {
            this.refuseNotRun(request, callerResponse, undecidedRefusals[outcome.kind]);
        }
    }

    /** Finds the route, the service and the account of a request in the active configuration. */
    private match(request: IncomingRequest): MatchOutcome {
        const { configuration } = this.options;
        const current = configuration.current;
        if (!current) {
            return { kind: "unconfigured" };
        }
        const { version } = current;
        const route = configuration.match(request.host, request.target);
        if (!route) {
            return { kind: "no-route", version };
        }
        const needsKey = current.hasAccounts && !route.isPublic;
        const account = request.apiKey === undefined ? undefined : current.accountsByKey.get(request.apiKey);
        if (needsKey && !account) {
            return { kind: "unknown-key", version };
        }
        const service = current.services.get(this.pickService(route));
        return service
            ? { kind: "matched", version, route, service, account, accountName: needsKey ? account?.name : undefined }
            : { kind: "no-route", version };
    }

    private createCall(
        request: IncomingRequest,
        callerResponse: CallerResponse,
        { version, route, service, account, accountName }: MatchOutcome & { kind: "matched"; },
        ended: AbortSignal,
    ): ForwardedCall | undefined {
        const { clock, retryBudget, crashGuard } = this.options;
        const nowMs = clock.monotonicMs();
        const allowedMs = Math.min(request.callerTimeoutMs ?? route.timeoutMs, route.timeoutMs);
        const mayRepeat = route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
        if (nowMs + (mayRepeat ? Math.min(allowedMs, LONGEST_REPEATABLE_RESPONSE_MS) : allowedMs) > this.endsAtMs) {
            const refusal = { reason: "the gateway shuts down", retryAfterMs: OTHER_GATEWAYS_RETRY_AFTER_MS };
            this.refuseNotRun(request, callerResponse, refusal, { endsInMs: Math.round(this.endsAtMs - nowMs) });
            return undefined;
        }
        if (!this.options.isReachable(service.name)) {
            const reason = "no known gateway reaches an upstream";
            this.refuseNotRun(request, callerResponse, { reason, retryAfterMs: OTHER_GATEWAYS_RETRY_AFTER_MS });
            return undefined;
        }
        retryBudget.recordRequest(service.name);
        const crashSubjects = {
            fingerprint: fingerprintOf(request, accountName),
            promptParts: service.engine ? request.sharedPromptParts : [],
        };
        const admission = crashGuard.admit(crashSubjects);
        if (admission.kind === "blocked") {
            const { part, retryAfterMs } = admission;
            this.refuseNotRun(request, callerResponse, admission, { part, retryAfterMs: Math.round(retryAfterMs) });
            return undefined;
        }
        const deadlineMs = request.receivedAtMs + allowedMs;
        const deadline = new AbortController();
        void clock.sleep(deadlineMs - nowMs, ended).then(() => deadline.abort());
        return {
            request,
            callerResponse,
            route,
            service,
            account: accountName,
            crashSubjects,
            priority: priorityOf(route, account),
            rank: rankOf(route, account),
            deadlineMs,
            deadline: AbortSignal.any([deadline.signal, this.shutdownEnd.signal]),
            configurationVersion: version,
            isTrial: admission.kind === "trial",
        };
    }

    private refuseNotRun(
        request: IncomingRequest,
        callerResponse: CallerResponse,
        { reason, retryAfterMs }: { reason: string; retryAfterMs: number; },
        logFields: Readonly<Record<string, unknown>> = {},
    ): void {
        this.options.metrics.count("refusals", reason);
        this.options.log.info("request refused", { request: request.id, reason, ...logFields });
        callerResponse.refuse({ kind: "not-run", retryAfterMs, reason });
    }

    private reject(
        request: IncomingRequest,
        callerResponse: CallerResponse,
        { kind, version }: Denial,
    ): void {
        this.options.metrics.count("refusals", kind);
        this.options.log.info("request rejected", {
            request: request.id,
            reason: kind,
            configuration: version,
            viewAgeMs: Math.round(this.options.configurationAgeMs()),
            waitedMs: Math.round(this.options.clock.monotonicMs() - request.receivedAtMs),
            host: request.host,
        });
        callerResponse.refuse({ kind });
    }

    private pickService(route: Route): string {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let remainingWeight = this.options.random.next() * total;
        for (const target of route.targets) {
            remainingWeight -= target.weight;
            if (remainingWeight < 0) {
                return target.service;
            }
        }
        return route.targets.at(-1)?.service ?? "";
    }
}

function isDenial(outcome: MatchOutcome): outcome is Denial {
    return outcome.kind === "no-route" || outcome.kind === "unknown-key";
}

function priorityOf(route: Route, account: ClientAccount | undefined): number {
    return account?.priority ?? route.priority;
}

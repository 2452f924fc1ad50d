import type { Clock, Random } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { Route } from "../model/Route.js";
import type { Service } from "../model/Service.js";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";
import type { AvoidedUpstreams } from "./AvoidedUpstreams.js";
import { chooseGroup } from "./chooseGroup.js";
import { chooseGroupByZone } from "./chooseGroupByZone.js";
import { chooseUpstream } from "./chooseUpstream.js";
import type { FailureRateTracker } from "./FailureRateTracker.js";
import type { GroupDirectory } from "./GroupDirectory.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { RequestExplanation } from "./RequestExplanation.js";
import type { SpilloverDecision } from "./SpilloverDecision.js";
import type { SpilloverPolicy } from "./SpilloverPolicy.js";
import type { UpstreamLimiter } from "./UpstreamLimiter.js";

interface RequestExplainerOptions {
    clock: Clock;
    random: Random;
    zone: string;
    configuration: ActiveConfiguration;
    configurationAgeMs: () => number;
    viewAgeMs: () => number;
    gatewayCount: () => number;
    upstreams: UpstreamDirectory;
    groups: GroupDirectory;
    loads: LoadTracker;
    failureRates: FailureRateTracker;
    avoidedUpstreams: AvoidedUpstreams;
    upstreamLimiter: UpstreamLimiter;
    spillover: SpilloverPolicy;
    isEvacuated: (zone: string) => boolean;
}

/** The request that is asked about; without a model for a plain service. */
interface Question {
    host: string;
    target: string;
    model?: string;
    promptTokens: number;
}

type Explained = Extract<RequestExplanation, { kind: "explained"; }>;
type ExplainedService = Explained["services"][number];
type Candidate = ExplainedService["candidates"][number];

/** What one draw of the choice and the choice among a single candidate return. */
interface Chooser {
    /** Draws a choice among the upstreams that can be chosen; returns its id. */
    draw: (ids: ReadonlySet<string>) => string | undefined;
    /** Returns the cost of one upstream; undefined if it cannot take the request. */
    cost: (id: string) => { cost: number; predictedMs?: number; } | undefined;
    /** Why the upstream cannot take the request although nothing excludes it. */
    unable: (candidate: Candidate) => string;
}

/** Number of draws from which the chances are estimated: a choice takes about 10 µs. */
const DRAWS = 100;
/** An answer takes some milliseconds of processor time, of which requests must not lack. */
const MAX_ANSWERS_PER_SECOND = 5;
/** Number of groups that are compared where there are more gateways than this. */
const SAMPLED_GROUPS = 3;
const MAX_GATEWAYS_COMPARING_ALL = 12;

/**
 * Says where a request would go now and why, with the functions that choose for real requests. Asking reserves, counts and
 * sends nothing, and renews no decision.
 */
export class RequestExplainer {
    private readonly answered: SlidingWindowCounter;

    private constructor(private readonly options: RequestExplainerOptions) {
        this.answered = SlidingWindowCounter.create(options.clock, 1000);
    }

    /** Creates an explainer. */
    static create(options: RequestExplainerOptions): RequestExplainer {
        return new RequestExplainer(options);
    }

    /** Explains the choice for a new request, as it would be made at this moment. */
    explain(question: Question): RequestExplanation {
        const { configuration, zone, gatewayCount, configurationAgeMs, viewAgeMs } = this.options;
        const { current } = configuration;
        if (this.answered.count >= MAX_ANSWERS_PER_SECOND) {
            return { kind: "too-many-questions" };
        }
        this.answered.record();
        if (!current) {
            return { kind: "unconfigured" };
        }
        const route = configuration.match(question.host, question.target);
        if (!route) {
            return { kind: "no-route" };
        }
        return {
            kind: "explained",
            zone,
            gateways: gatewayCount(),
            route: route.name,
            configurationVersion: current.version,
            configurationAgeMs: Math.round(configurationAgeMs()),
            viewAgeMs: Math.round(viewAgeMs()),
            services: route.targets.flatMap(({ service: name, weight }) => {
                const service = current.services.get(name);
                return service ? [{ service: name, weight, ...this.explainService(question, route, service) }] : [];
            }),
        };
    }

    private explainService(
        question: Question,
        route: Route,
        service: Service,
    ): Pick<ExplainedService, "spillover" | "candidates"> {
        const engine = route.kind === "stream" ? service.engine : undefined;
        const model = engine && (question.model ?? "");
        const last = this.options.spillover.lastDecision({
            service: service.name,
            model,
            targetMs: route.targetLatencyMs,
        });
        const upstreams = [...this.options.upstreams.all()].filter(upstream =>
            upstream.service === service.name
            && (!engine || (upstream.group?.rank === 0 && upstream.model === question.model))
        );
        const chooser = engine
            ? this.streamChooser(question, route, service, engine, last?.decision)
            : this.plainChooser(upstreams, last?.decision);
        return {
            ...last && {
                spillover: {
                    share: last.decision.share,
                    targets: Object.fromEntries(last.decision.targets.map(({ zone, fraction }) => [zone, fraction])),
                    reason: last.decision.reason,
                    ageMs: Math.round(last.ageMs),
                },
            },
            candidates: this.explainCandidates(upstreams, service, engine, chooser),
        };
    }

    private explainCandidates(
        upstreams: readonly Upstream[],
        service: Service,
        engine: EngineProfile | undefined,
        chooser: Chooser,
    ): Candidate[] {
        const usable = this.options.avoidedUpstreams.usable(upstreams);
        const candidates = upstreams.map((upstream): Candidate => {
            const { loads } = this.options;
            const { group } = upstream;
            const load = engine && group ? loads.totalLoad(String(group.epoch)) : loads.ownLoad(upstream.id);
            const candidate: Candidate = {
                upstream: upstream.id,
                zone: upstream.zone,
                ...engine && group && { group: { name: group.name, epoch: group.epoch } },
                inFlight: load.inFlight,
                unreadTokens: load.pendingPrefillTokens,
                chance: 0,
            };
            const excluded = this.exclusionOf(upstream, service, engine, usable);
            const cost = excluded === undefined ? chooser.cost(upstream.id) : undefined;
            return { ...candidate, ...cost, against: excluded ?? (cost ? undefined : chooser.unable(candidate)) };
        });
        const able = new Set(candidates.filter(({ against }) => !against).map(({ upstream }) => upstream));
        const draws = Array.from({ length: able.size > 0 ? DRAWS : 0 }, () => chooser.draw(able));
        const chanceOf = (id: string) => draws.filter(drawn => drawn === id).length / DRAWS;
        const most = Math.max(0, ...[...able].map(chanceOf));
        return candidates.map(candidate => {
            const chance = chanceOf(candidate.upstream);
            const against = candidate.against
                ?? (chance === most ? undefined : this.disadvantageOf(candidate, chance));
            return { ...candidate, chance, against };
        }).sort((left, right) => right.chance - left.chance);
    }

    /** Returns why no request is sent to the upstream now; undefined if one may be. */
    private exclusionOf(
        upstream: Upstream,
        service: Service,
        engine: EngineProfile | undefined,
        usable: ReadonlySet<Upstream>,
    ): string | undefined {
        const { avoidedUpstreams, upstreamLimiter, groups, isEvacuated } = this.options;
        const { group, state, zone } = upstream;
        if (state !== "ready") {
            return "the upstream is draining";
        }
        if (engine && group?.phase !== "open") {
            return `the group is ${group?.phase}`;
        }
        if (engine && group && groups.isLost(group.epoch)) {
            return "the group was found lost";
        }
        if (isEvacuated(zone)) {
            return "the zone is evacuated";
        }
        if (!usable.has(upstream)) {
            return avoidedUpstreams.isUnreachable(upstream)
                ? "it accepted no connection"
                : "it rejected a request lately";
        }
        const waitMs = upstreamLimiter.waitMs(upstream, service);
        return waitMs > 0 ? `its limit allows this gateway's next request in ${Math.round(waitMs)} ms` : undefined;
    }

    private disadvantageOf({ zone }: Candidate, chance: number): string {
        if (chance > 0) {
            return "others are expected to be quicker, or are drawn more often";
        }
        return zone === this.options.zone ? "others are expected to be quicker" : "other zones come after the own one";
    }

    private streamChooser(
        question: Question,
        { targetGapMs, targetLatencyMs: targetMs }: Route,
        service: Service,
        engine: EngineProfile,
        decision: SpilloverDecision | undefined,
    ): Chooser {
        const { zone, random, groups, gatewayCount } = this.options;
        const candidates = groups.candidates(service.name, engine, question.model);
        const request = { zone, promptTokens: question.promptTokens, targetGapMs, targetMs };
        const sampling = gatewayCount() > MAX_GATEWAYS_COMPARING_ALL ? { count: SAMPLED_GROUPS, random } : undefined;
        return {
            draw: ids => {
                const able = candidates.filter(({ head }) => ids.has(head.id));
                const choice = decision && chooseGroupByZone(engine, able, request, decision, random);
                return (choice ?? chooseGroup(engine, able, request, sampling))?.candidate.head.id;
            },
            cost: id => {
                const choice = chooseGroup(engine, candidates.filter(({ head }) => head.id === id), request);
                return choice && { cost: Math.round(choice.costMs), predictedMs: Math.round(choice.firstEventMs) };
            },
            unable: ({ inFlight }) =>
                inFlight >= engine.slots ? "no free slot" : "the prompt would hold up its streams for too long",
        };
    }

    private plainChooser(upstreams: readonly Upstream[], decision: SpilloverDecision | undefined): Chooser {
        const { zone, random, loads, failureRates } = this.options;
        const candidates = upstreams.map(upstream => ({
            upstream,
            ...loads.ownLoad(upstream.id),
            failureRate: failureRates.failureRate(upstream.id),
        }));
        return {
            draw: ids =>
                chooseUpstream(candidates.filter(({ upstream }) => ids.has(upstream.id)), zone, decision, random)
                    ?.upstream.id,
            cost: id => {
                const [candidate] = candidates.filter(({ upstream }) => upstream.id === id);
                return candidate && candidate.inFlight < candidate.upstream.slots
                    ? { cost: chooseUpstream([candidate], zone, undefined, random)?.cost ?? 0 }
                    : undefined;
            },
            unable: () => "no free slot",
        };
    }
}

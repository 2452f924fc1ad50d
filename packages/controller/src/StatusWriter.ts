import type { ObjectStore, Revision } from "@fescuehaven/platform";
import { type GroupStatus, groupStatusSchema } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder } from "@fescuehaven/telemetry";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { GroupState } from "./GroupState.js";

/** Transitions that a status keeps. */
const KEPT_TRANSITIONS = 20;

/** Dependencies of a `StatusWriter`. */
interface StatusWriterOptions {
    store: ObjectStore;
    clock: Clock;
    recorder: EventRecorder;
    /** Name of this process, which each transition names. */
    process: string;
    timings: ControllerTimings;
}

/** What is known of one group's status in the platform. */
interface Published {
    /** State as last written or read; undefined before that. */
    state: string | undefined;
    retryAtMs: number;
    inFlight: boolean;
}

/** Writes each group's status when it changes. An update that fails is tried again later and holds up nothing. */
export class StatusWriter {
    private readonly published = new Map<string, Published>();

    private constructor(private readonly options: StatusWriterOptions) {}

    /** Creates a writer that has read and written nothing. */
    static create(options: StatusWriterOptions): StatusWriter {
        return new StatusWriter(options);
    }

    /** Starts to write `state` unless the platform already has it. */
    publish(group: string, state: GroupState): void {
        const known = this.published.get(group) ?? { state: undefined, retryAtMs: -Infinity, inFlight: false };
        this.published.set(group, known);
        const isDue = this.options.clock.monotonicMs() >= known.retryAtMs;
        if (known.inFlight || !isDue || known.state === signatureOf(state)) {
            return;
        }
        known.inFlight = true;
        void this.update(group, state, known);
    }

    /** Names of the groups whose status this writer has written or read. */
    groups(): string[] {
        return [...this.published.keys()];
    }

    /** Forgets what was written, for instance because another controller may have written since. */
    reset(): void {
        this.published.clear();
    }

    private async update(group: string, state: GroupState, known: Published): Promise<void> {
        const written = await this.write(group, state);
        known.inFlight = false;
        if (written) {
            known.state = signatureOf(state);
            return;
        }
        known.state = undefined;
        known.retryAtMs = this.options.clock.monotonicMs() + this.options.timings.statusRetryMs;
    }

    /** True once the platform is known to hold `state`. A lost answer counts as a failure: the next try reads first. */
    private async write(group: string, state: GroupState): Promise<boolean> {
        const { clock, recorder, store } = this.options;
        const key = { kind: "group-status", name: group };
        const read = await store.read(key, "status");
        if (read.kind === "unavailable") {
            return false;
        }
        const former = read.kind === "found" ? groupStatusSchema.safeParse(read.object.value).data : undefined;
        const revision: Revision = read.kind === "found" ? read.object.revision : 0;
        if (former && signatureOf(former) === signatureOf(state)) {
            return true;
        }
        const outcome = await store.write(key, this.compose(state, former, clock.now()), revision, "status");
        if (outcome.kind === "committed") {
            recorder.record({ kind: "group-status", group, epoch: state.epoch, reason: state.reason });
        }
        return outcome.kind === "committed";
    }

    private compose(state: GroupState, former: GroupStatus | undefined, now: Date): GroupStatus {
        const at = now.toISOString();
        const { epoch, phase, reason } = state;
        const transition = { at, phase, reason, epoch, controller: this.options.process };
        const isSamePhase = former?.phase === phase;
        return {
            ...state,
            since: isSamePhase ? former.since : at,
            transitions: [...former?.transitions ?? [], transition].slice(-KEPT_TRANSITIONS),
        };
    }
}

function signatureOf(state: GroupState): string {
    const { epoch, members, modelVersion, observedRevision, phase, reason } = state;
    return JSON.stringify([phase, reason, epoch, members, modelVersion, observedRevision]);
}

import type { ObjectStore, Revision } from "@fescuehaven/platform";
import { type GroupStatus, groupStatusSchema } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder } from "@fescuehaven/telemetry";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { GroupState } from "./GroupState.js";

/** Number of newest transitions that a status keeps. */
const KEPT_TRANSITIONS = 20;

interface StatusWriterOptions {
    store: ObjectStore;
    clock: Clock;
    recorder: EventRecorder;
    /** Name of this process, recorded in each transition. */
    process: string;
    timings: ControllerTimings;
}

/** What this writer knows of one group's status in the platform. */
interface Published {
    /** Signature of the state last written or read; undefined if the stored state is not known. */
    state: string | undefined;
    retryAtMs: number;
    inFlight: boolean;
}

/** Writes each group's status when it changes. A failed update is retried later and does not block other updates. */
export class StatusWriter {
    private readonly published = new Map<string, Published>();

    private constructor(private readonly options: StatusWriterOptions) {}

    /** Creates a writer that has not read or written any status. */
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

    /** Returns the names of the groups whose status this writer has written or read. */
    groups(): string[] {
        return [...this.published.keys()];
    }

    /** Forgets which statuses were written, for example because another controller may have written newer ones. */
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

    /** Returns true if the platform is known to hold `state`. After a lost response, the next try reads first. */
    private async write(group: string, state: GroupState): Promise<boolean> {
        const { clock, recorder, store } = this.options;
        const key = { kind: "group-status", name: group };
        const read = await store.read(key, "status");
        if (read.kind === "unavailable") {
            return false;
        }
        const previous = read.kind === "found" ? groupStatusSchema.safeParse(read.object.value).data : undefined;
        const revision: Revision = read.kind === "found" ? read.object.revision : 0;
        if (previous && signatureOf(previous) === signatureOf(state)) {
            return true;
        }
        const outcome = await store.write(key, this.compose(state, previous, clock.now()), revision, "status");
        if (outcome.kind === "committed") {
            recorder.record({ kind: "group-status", group, epoch: state.epoch, reason: state.reason });
        }
        return outcome.kind === "committed";
    }

    private compose(state: GroupState, previous: GroupStatus | undefined, now: Date): GroupStatus {
        const at = now.toISOString();
        const { epoch, phase, reason } = state;
        const transition = { at, phase, reason, epoch, controller: this.options.process };
        const isSamePhase = previous?.phase === phase;
        return {
            ...state,
            since: isSamePhase ? previous.since : at,
            transitions: [...previous?.transitions ?? [], transition].slice(-KEPT_TRANSITIONS),
        };
    }
}

function signatureOf(state: GroupState): string {
    const { epoch, members, modelVersion, observedRevision, phase, reason } = state;
    return JSON.stringify([phase, reason, epoch, members, modelVersion, observedRevision]);
}

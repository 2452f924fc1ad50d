import type { Clock, Random } from "@fescuehaven/runtime";
import type { CapacityRamp } from "./CapacityRamp.js";
import type { EngineBehaviour } from "./EngineBehaviour.js";
import type { TokenStream } from "./TokenStream.js";

/** Longest sleep between two looks at the streams, ms. */
const MAX_SLEEP_MS = 250;

interface Entry {
    stream: TokenStream;
    readyAtMs: number;
}

/** Counts that a batch keeps. */
interface BatchCounters {
    started: number;
    completed: number;
    broken: number;
    cancelled: number;
    overloadFalls: number;
    peakRequests: number;
    /** Most requests over the capacity at any moment. */
    peakOverCapacity: number;
}

/** Faults that a batch heeds; changed by the engine at any time. */
interface BatchFaults {
    silent: boolean;
    slowFactor: number;
    duplicateTokens: boolean;
    crossAnswers: boolean;
}

/** The streams of one replica, decoded step by step together; the more there are, the longer a step takes. */
export class ContinuousBatch {
    /** Counts since the process started. */
    readonly counters: BatchCounters = {
        started: 0,
        completed: 0,
        broken: 0,
        cancelled: 0,
        overloadFalls: 0,
        peakRequests: 0,
        peakOverCapacity: 0,
    };

    private running = new Map<string, Entry>();
    private waiting: Entry[] = [];
    private overloadedSinceMs: number | undefined;
    private looping = false;

    private constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly behaviour: EngineBehaviour,
        private readonly ramp: CapacityRamp,
        private readonly faults: BatchFaults,
        private readonly onChange: (running: number, waiting: number) => void,
        private readonly onFall: () => void,
    ) {}

    /** Creates an empty batch; `onFall` is called when it was overloaded for too long. */
    static create(options: {
        clock: Clock;
        random: Random;
        behaviour: EngineBehaviour;
        ramp: CapacityRamp;
        faults: BatchFaults;
        onChange: (running: number, waiting: number) => void;
        onFall: () => void;
    }): ContinuousBatch {
        const { clock, random, behaviour, ramp, faults, onChange, onFall } = options;
        return new ContinuousBatch(clock, random, behaviour, ramp, faults, onChange, onFall);
    }

    /** Adds a stream whose first token takes `prefillMs`. */
    add(stream: TokenStream, prefillMs: number): void {
        this.counters.started += 1;
        this.waiting.push({ stream, readyAtMs: this.clock.monotonicMs() + prefillMs });
        this.fill();
        this.noteSize();
        if (!this.looping) {
            this.looping = true;
            void this.decode();
        }
    }

    /** Drops a stream whose caller has left or cancelled. */
    cancel(attemptId: string): void {
        const entry = this.running.get(attemptId)
            ?? this.waiting.find(candidate => candidate.stream.request.attemptId === attemptId);
        if (entry) {
            this.counters.cancelled += 1;
            entry.stream.break();
            this.drop(attemptId);
        }
    }

    /** Cuts every stream. */
    breakAll(): void {
        const entries = [...this.running.values(), ...this.waiting];
        this.counters.broken += entries.length;
        this.running.clear();
        this.waiting = [];
        this.noteSize();
        entries.forEach(entry => entry.stream.break());
    }

    /** Decodes until no stream is left. */
    private async decode(): Promise<void> {
        let nextStepMs = this.clock.monotonicMs() + this.stepMs();
        while (this.size() > 0) {
            await this.clock.sleep(Math.min(MAX_SLEEP_MS, nextStepMs - this.clock.monotonicMs()));
            if (this.faults.silent) {
                continue;
            }
            this.heartbeat();
            if (this.clock.monotonicMs() >= nextStepMs) {
                this.step();
                nextStepMs = this.clock.monotonicMs() + this.stepMs();
            }
            this.fallIfOverloaded();
        }
        this.looping = false;
    }

    private step(): void {
        const nowMs = this.clock.monotonicMs();
        const entries = [...this.running.values()].filter(entry => entry.readyAtMs <= nowMs);
        entries.forEach((entry, position) => {
            const other = entries[(position + 1) % entries.length];
            const outcome = entry.stream.step(nowMs, this.faults, other === entry ? undefined : other?.stream);
            if (outcome !== "open") {
                this.finish(entry.stream, outcome);
            }
        });
    }

    private finish(stream: TokenStream, outcome: "done" | "broken"): void {
        if (outcome === "done") {
            this.counters.completed += 1;
            this.ramp.complete();
        }
        else {
            this.counters.broken += 1;
        }
        this.drop(stream.request.attemptId);
    }

    private drop(attemptId: string): void {
        this.running.delete(attemptId);
        this.waiting = this.waiting.filter(entry => entry.stream.request.attemptId !== attemptId);
        this.fill();
        this.noteSize();
    }

    /** Lets waiting streams run while there is room, highest priority first, then in the order of arrival. */
    private fill(): void {
        while (this.waiting.length > 0 && this.running.size < this.behaviour.batchLimit) {
            const next = this.waiting.reduce((best, entry) =>
                entry.stream.request.priority > best.stream.request.priority ? entry : best
            );
            this.waiting = this.waiting.filter(entry => entry !== next);
            this.running.set(next.stream.request.attemptId, next);
        }
    }

    private noteSize(): void {
        const size = this.size();
        const over = size - this.ramp.capacity();
        this.counters.peakRequests = Math.max(this.counters.peakRequests, size);
        this.counters.peakOverCapacity = Math.max(this.counters.peakOverCapacity, over);
        this.overloadedSinceMs = over > 0 ? this.overloadedSinceMs ?? this.clock.monotonicMs() : undefined;
        this.onChange(this.running.size, this.waiting.length);
    }

    private fallIfOverloaded(): void {
        const sinceMs = this.overloadedSinceMs;
        if (sinceMs === undefined || this.size() <= this.ramp.capacity()) {
            this.overloadedSinceMs = undefined;
            return;
        }
        if (this.clock.monotonicMs() - sinceMs >= this.behaviour.overloadGraceMs) {
            this.counters.overloadFalls += 1;
            this.breakAll();
            this.onFall();
        }
    }

    private heartbeat(): void {
        const nowMs = this.clock.monotonicMs();
        this.running.forEach(entry => entry.stream.heartbeat(nowMs));
        this.waiting.forEach(entry => entry.stream.heartbeat(nowMs));
    }

    private stepMs(): number {
        const { tokenMs, batchSlowdown, warmCapacity, jitter } = this.behaviour;
        const crowding = 1 + batchSlowdown * Math.max(0, this.running.size - 1) / warmCapacity;
        return tokenMs * crowding * this.faults.slowFactor * (1 + jitter * this.random.next());
    }

    private size(): number {
        return this.running.size + this.waiting.length;
    }
}

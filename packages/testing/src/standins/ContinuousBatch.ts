import type { Clock, Random } from "@fescuehaven/runtime";
import type { CapacityRamp } from "./CapacityRamp.js";
import type { EngineBehaviour } from "./EngineBehaviour.js";
import type { TokenStream } from "./TokenStream.js";

/** Longest sleep between two checks of the streams. */
const MAX_SLEEP_MS = 250;

interface Entry {
    stream: TokenStream;
    readyAtMs: number;
}

/** Counts since the process started. */
interface BatchCounters {
    started: number;
    completed: number;
    broken: number;
    cancelled: number;
    overloadFalls: number;
    peakRequests: number;
    /** Largest number of requests above the capacity at any moment. */
    peakOverCapacity: number;
}

/** Injected faults that a batch reads at each step; the engine may change them at any time. */
interface BatchFaults {
    silent: boolean;
    slowFactor: number;
    duplicateTokens: boolean;
    crossAnswers: boolean;
}

/** Decodes the streams of one replica together, step by step; a step takes longer with more streams. */
export class ContinuousBatch {
    /** Counts since the batch was created. */
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
    private isDecoding = false;

    private constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly behaviour: EngineBehaviour,
        private readonly ramp: CapacityRamp,
        private readonly faults: BatchFaults,
        private readonly onChange: (running: number, waiting: number) => void,
        private readonly onCrash: () => void,
    ) {}

    /** Creates an empty batch; `onCrash` is called when it has been overloaded for longer than `overloadGraceMs`. */
    static create(options: {
        clock: Clock;
        random: Random;
        behaviour: EngineBehaviour;
        ramp: CapacityRamp;
        faults: BatchFaults;
        onChange: (running: number, waiting: number) => void;
        onCrash: () => void;
    }): ContinuousBatch {
        const { clock, random, behaviour, ramp, faults, onChange, onCrash } = options;
        return new ContinuousBatch(clock, random, behaviour, ramp, faults, onChange, onCrash);
    }

    /** Adds a stream whose prefill takes `prefillMs`. */
    add(stream: TokenStream, prefillMs: number): void {
        this.counters.started += 1;
        this.waiting.push({ stream, readyAtMs: this.clock.monotonicMs() + prefillMs });
        this.admitWaiting();
        this.recordSize();
        if (!this.isDecoding) {
            this.isDecoding = true;
            void this.decode();
        }
    }

    /** Aborts and removes a stream whose caller has disconnected or cancelled. */
    cancel(attemptId: string): void {
        const entry = this.running.get(attemptId)
            ?? this.waiting.find(candidate => candidate.stream.request.attemptId === attemptId);
        if (entry) {
            this.counters.cancelled += 1;
            entry.stream.abort();
            this.remove(attemptId);
        }
    }

    /** Aborts and removes every stream. */
    abortAll(): void {
        const entries = [...this.running.values(), ...this.waiting];
        this.counters.broken += entries.length;
        this.running.clear();
        this.waiting = [];
        this.recordSize();
        entries.forEach(entry => entry.stream.abort());
    }

    /** Decodes until no stream is left. */
    private async decode(): Promise<void> {
        let nextStepMs = this.clock.monotonicMs() + this.stepMs();
        while (this.size() > 0) {
            await this.clock.sleep(Math.min(MAX_SLEEP_MS, nextStepMs - this.clock.monotonicMs()));
            if (this.faults.silent) {
                continue;
            }
            this.sendHeartbeats();
            if (this.clock.monotonicMs() >= nextStepMs) {
                this.step();
                nextStepMs = this.clock.monotonicMs() + this.stepMs();
            }
            this.crashIfOverloaded();
        }
        this.isDecoding = false;
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
            this.ramp.recordCompletion();
        }
        else {
            this.counters.broken += 1;
        }
        this.remove(stream.request.attemptId);
    }

    private remove(attemptId: string): void {
        this.running.delete(attemptId);
        this.waiting = this.waiting.filter(entry => entry.stream.request.attemptId !== attemptId);
        this.admitWaiting();
        this.recordSize();
    }

    /** Starts waiting streams while the batch has room: highest priority first, then in order of arrival. */
    private admitWaiting(): void {
        while (this.waiting.length > 0 && this.running.size < this.behaviour.batchLimit) {
            const next = this.waiting.reduce((best, entry) =>
                entry.stream.request.priority > best.stream.request.priority ? entry : best
            );
            this.waiting = this.waiting.filter(entry => entry !== next);
            this.running.set(next.stream.request.attemptId, next);
        }
    }

    private recordSize(): void {
        const size = this.size();
        const overCapacity = size - this.ramp.capacity();
        this.counters.peakRequests = Math.max(this.counters.peakRequests, size);
        this.counters.peakOverCapacity = Math.max(this.counters.peakOverCapacity, overCapacity);
        this.overloadedSinceMs = overCapacity > 0 ? this.overloadedSinceMs ?? this.clock.monotonicMs() : undefined;
        this.onChange(this.running.size, this.waiting.length);
    }

    private crashIfOverloaded(): void {
        const sinceMs = this.overloadedSinceMs;
        if (sinceMs === undefined || this.size() <= this.ramp.capacity()) {
            this.overloadedSinceMs = undefined;
            return;
        }
        if (this.clock.monotonicMs() - sinceMs >= this.behaviour.overloadGraceMs) {
            this.counters.overloadFalls += 1;
            this.abortAll();
            this.onCrash();
        }
    }

    private sendHeartbeats(): void {
        const nowMs = this.clock.monotonicMs();
        this.running.forEach(entry => entry.stream.sendHeartbeatIfIdle(nowMs));
        this.waiting.forEach(entry => entry.stream.sendHeartbeatIfIdle(nowMs));
    }

    private stepMs(): number {
        const { tokenMs, batchSlowdown, warmCapacity, jitter } = this.behaviour;
        const slowdown = 1 + batchSlowdown * Math.max(0, this.running.size - 1) / warmCapacity;
        return tokenMs * slowdown * this.faults.slowFactor * (1 + jitter * this.random.next());
    }

    private size(): number {
        return this.running.size + this.waiting.length;
    }
}

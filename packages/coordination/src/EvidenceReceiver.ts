import { EvidenceService, type EvidenceUpdate } from "@fescuehaven/protocol";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import { EvidenceDecoder } from "./EvidenceDecoder.js";
import { evidenceTimes } from "./evidenceTimes.js";
import type { ObservationTable } from "./ObservationTable.js";
import type { Peer } from "./Peer.js";
import { PeerClockBound } from "./PeerClockBound.js";
import type { PeerClients } from "./ports/PeerClients.js";
import { Backoff } from "./util/Backoff.js";
import { withDeadline } from "./util/withDeadline.js";

interface EvidenceReceiverOptions {
    /** Name of this process. */
    process: string;
    peer: Peer;
    clients: PeerClients;
    table: ObservationTable;
    clock: Clock;
    random: Random;
    logger: Logger;
    events: EventRecorder;
}

/** Receives the observations of one peer. Reconnects when the stream ends or goes silent. */
export class EvidenceReceiver {
    private lastUpdateAtMs = -Infinity;
    private connected = false;

    private constructor(private readonly options: EvidenceReceiverOptions) {}

    /** Creates the receiver; `run` connects it. */
    static create(options: EvidenceReceiverOptions): EvidenceReceiver {
        return new EvidenceReceiver(options);
    }

    /** True while the peer's stream is not silent. */
    get live(): boolean {
        return this.options.clock.monotonicMs() - this.lastUpdateAtMs < evidenceTimes.streamSilenceMs;
    }

    /** Receives until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, clients, peer, random } = this.options;
        const backoff = Backoff.create({
            random,
            firstMs: evidenceTimes.reconnectFirstMs,
            maxMs: evidenceTimes.reconnectMaxMs,
        });
        while (!signal.aborted) {
            await this.receive(signal, () => backoff.reset());
            this.recordDisconnected(signal);
            clients.abandon(peer);
            await clock.sleep(backoff.nextMs(), signal);
        }
    }

    private async receive(signal: AbortSignal, onUpdate: () => void): Promise<void> {
        const { clock } = this.options;
        const closing = new AbortController();
        const stream = AbortSignal.any([signal, closing.signal]);
        const bound = PeerClockBound.create();
        const decoder = EvidenceDecoder.create(bound);
        const requestedAtMs = clock.monotonicMs();
        const iterator = this.updates(stream);
        let incarnation: string | undefined;
        for (;;) {
            const next = await withDeadline(clock, evidenceTimes.streamSilenceMs, stream, () => iterator.next());
            if (
                stream.aborted || !next || next.done
            ) {
                break;
            }
            if (incarnation === undefined) {
                incarnation = next.value.incarnation;
                bound.addSample(requestedAtMs, next.value.sentAtMs);
                void this.sampleClock(bound, incarnation, stream);
            }
            onUpdate();
            this.apply(decoder, next.value);
        }
        closing.abort();
    }

    /** Yields the peer's updates. If the peer cannot be called, the first read fails. */
    private async *updates(signal: AbortSignal): AsyncGenerator<EvidenceUpdate> {
        const { clients, peer, process } = this.options;
        const client = clients.get(EvidenceService, peer);
        yield* client.watchEvidence({ observer: process }, { signal, timeoutMs: 0 });
    }

    private apply(decoder: EvidenceDecoder, update: EvidenceUpdate): void {
        const { clock, events, peer, table } = this.options;
        const nowMs = clock.monotonicMs();
        this.lastUpdateAtMs = nowMs;
        if (!this.connected) {
            this.connected = true;
            events.record({ kind: "peer-found", reason: peer.name });
        }
        decoder.decode(update, nowMs).forEach(([vm, observation]) => table.putRemote(vm, observation));
    }

    private recordDisconnected(signal: AbortSignal): void {
        this.lastUpdateAtMs = -Infinity;
        if (this.connected && !signal.aborted) {
            this.connected = false;
            this.options.events.record({ kind: "peer-lost", reason: this.options.peer.name });
            this.options.logger.warn(`Lost the evidence stream of ${this.options.peer.name}.`);
        }
    }

    /** Samples the peer's clock while the stream lasts, to keep the bound on it tight. */
    private async sampleClock(bound: PeerClockBound, incarnation: string, signal: AbortSignal): Promise<void> {
        const { clients, clock, peer } = this.options;
        while (!signal.aborted) {
            const requestedAtMs = clock.monotonicMs();
            const sample = await withDeadline(
                clock,
                evidenceTimes.streamSilenceMs,
                signal,
                attempt => clients.get(EvidenceService, peer).sampleClock({}, { signal: attempt }),
            );
            if (sample?.incarnation === incarnation) {
                bound.addSample(requestedAtMs, sample.monotonicMs);
            }
            await clock.sleep(evidenceTimes.clockSampleMs, signal);
        }
    }
}

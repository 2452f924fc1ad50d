import { create } from "@bufbuild/protobuf";
import { type EvidenceUpdate, type SampleClockResponse, SampleClockResponseSchema } from "@fescuehaven/protocol";
import type { Clock } from "@fescuehaven/runtime";
import { EvidenceEncoder } from "./EvidenceEncoder.js";
import { evidenceTimes } from "./evidenceTimes.js";
import type { ObservationTable } from "./ObservationTable.js";

interface EvidenceSenderOptions {
    /** Identifies this run of the process. */
    incarnation: string;
    table: ObservationTable;
    clock: Clock;
}

/** Streams the observations of this process to others. */
export class EvidenceSender {
    private constructor(private readonly options: EvidenceSenderOptions) {}

    /** Creates the sender. */
    static create(options: EvidenceSenderOptions): EvidenceSender {
        return new EvidenceSender(options);
    }

    /** Yields all current observations, then new ones and heartbeats, until `signal` aborts. */
    async *stream(signal: AbortSignal): AsyncGenerator<EvidenceUpdate, void> {
        const { clock, incarnation, table } = this.options;
        const encoder = EvidenceEncoder.create(incarnation);
        while (!signal.aborted) {
            const version = table.ownVersion;
            yield encoder.encode(table.own(), clock.monotonicMs());
            if (table.ownVersion === version) {
                await this.waitForChangeOrHeartbeat(signal);
            }
            await clock.sleep(evidenceTimes.batchMs, signal);
        }
    }

    /** Returns the current time of this process's monotonic clock. */
    sampleClock(): SampleClockResponse {
        const { clock, incarnation } = this.options;
        return create(SampleClockResponseSchema, { incarnation, monotonicMs: clock.monotonicMs() });
    }

    private async waitForChangeOrHeartbeat(signal: AbortSignal): Promise<void> {
        const { clock, table } = this.options;
        const finished = new AbortController();
        const either = AbortSignal.any([signal, finished.signal]);
        await Promise.race([table.ownChanges.next(either), clock.sleep(evidenceTimes.heartbeatMs, either)]);
        finished.abort();
    }
}

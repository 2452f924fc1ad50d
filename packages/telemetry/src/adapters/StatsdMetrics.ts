import { StatsD } from "hot-shots";
import type { Metrics } from "../ports/Metrics.js";

interface StatsdMetricsOptions {
    /** IP address of the statsd receiver. */
    host: string;
    port: number;
    /** Tags added to every metric. */
    tags: Record<string, string>;
}

/** Sends metrics as statsd datagrams with hot-shots. Send errors and lost datagrams are ignored. */
export class StatsdMetrics implements Metrics {
    private constructor(private readonly client: StatsD) {}

    /** Creates the client. */
    static create(options: StatsdMetricsOptions): StatsdMetrics {
        const client = new StatsD({
            host: options.host,
            port: options.port,
            prefix: "fescue.",
            globalTags: options.tags,
            maxBufferSize: 1400,
            errorHandler: () => undefined,
        });
        return new StatsdMetrics(client);
    }

    /** Adds `by` (1 when left out) to a counter. */
    increment(name: string, by = 1, tags: Record<string, string> = {}): void {
        this.client.increment(name, by, tags);
    }

    /** Sets a gauge. */
    gauge(name: string, value: number, tags: Record<string, string> = {}): void {
        this.client.gauge(name, value, tags);
    }

    /** Records a duration. */
    timing(name: string, durationMs: number, tags: Record<string, string> = {}): void {
        this.client.timing(name, durationMs, tags);
    }

    /** Sends buffered metrics and closes the socket. */
    close(): Promise<void> {
        return new Promise(resolve => this.client.close(() => resolve()));
    }
}

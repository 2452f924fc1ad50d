import type { Clock, Random } from "@fescuehaven/runtime";
import { Agent, request } from "undici";

/** Interval at which each router's readiness is checked. */
const CHECK_INTERVAL_MS = 250;

/** Longest wait for a readiness response. */
const CHECK_TIMEOUT_MS = 500;

/** Picks routers for calls as the platform's load balancer does: at random among those that are ready. */
export class Balancer {
    private readonly ready = new Set<string>();
    private readonly stopping = new AbortController();
    private readonly agent = new Agent();

    private constructor(
        private readonly urls: readonly string[],
        private readonly clock: Clock,
        private readonly random: Random,
    ) {}

    /** Creates a balancer; it regards no router as ready until `run` has checked it. */
    static create(options: { urls: readonly string[]; clock: Clock; random: Random; }): Balancer {
        return new Balancer(options.urls, options.clock, options.random);
    }

    /** Number of routers whose last readiness check passed. */
    get readyCount(): number {
        return this.ready.size;
    }

    /** Checks all routers at an interval until `close` is called. */
    async run(): Promise<void> {
        await Promise.all(this.urls.map(url => this.pollReadiness(url)));
    }

    /** Returns the URL of a ready router, or of any router if none is ready; avoids `avoid` if there is another one. */
    pick(avoid?: string): string {
        const pool = this.ready.size > 0 ? [...this.ready] : this.urls;
        const others = pool.filter(url => url !== avoid);
        const choices = others.length > 0 ? others : pool;
        return choices[Math.floor(this.random.next() * choices.length)] ?? "";
    }

    /** Stops the checks and closes the connections. */
    async close(): Promise<void> {
        this.stopping.abort();
        await this.agent.destroy();
    }

    private async pollReadiness(url: string): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const isReady = await this.isRouterReady(url);
            if (isReady) {
                this.ready.add(url);
            }
            else {
                this.ready.delete(url);
            }
            await this.clock.sleep(CHECK_INTERVAL_MS, this.stopping.signal);
        }
    }

    private async isRouterReady(url: string): Promise<boolean> {
        try {
            const signal = AbortSignal.timeout(CHECK_TIMEOUT_MS);
            const response = await request(`${url}/readyz`, { dispatcher: this.agent, signal });
            await response.body.dump();
            return response.statusCode === 200;
        }
        catch {
            return false;
        }
    }
}

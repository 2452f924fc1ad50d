import type { Clock, Random } from "@fescuehaven/runtime";
import { Agent, request } from "undici";

/** How often each router's readiness is checked, ms. */
const CHECK_INTERVAL_MS = 250;

/** Longest wait for a readiness answer, ms. */
const CHECK_TIMEOUT_MS = 500;

/** Picks routers for calls as the platform's balancer does: at random among those whose readiness check passes. */
export class Balancer {
    private readonly ready = new Set<string>();
    private readonly stopping = new AbortController();
    private readonly agent = new Agent();

    private constructor(
        private readonly urls: readonly string[],
        private readonly clock: Clock,
        private readonly random: Random,
    ) {}

    /** Creates a balancer that knows no router as ready until `run`. */
    static create(options: { urls: readonly string[]; clock: Clock; random: Random; }): Balancer {
        return new Balancer(options.urls, options.clock, options.random);
    }

    /** Routers whose last check passed. */
    get readyCount(): number {
        return this.ready.size;
    }

    /** Checks all routers again and again until `close`. */
    async run(): Promise<void> {
        await Promise.all(this.urls.map(url => this.watch(url)));
    }

    /** A ready router, another one than `avoid` where there is a choice. */
    pick(avoid?: string): string {
        const pool = this.ready.size > 0 ? [...this.ready] : this.urls;
        const others = pool.filter(url => url !== avoid);
        const choices = others.length > 0 ? others : pool;
        return choices[Math.floor(this.random.next() * choices.length)] ?? "";
    }

    /** Stops checking. */
    async close(): Promise<void> {
        this.stopping.abort();
        await this.agent.destroy();
    }

    private async watch(url: string): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const isReady = await this.check(url);
            if (isReady) {
                this.ready.add(url);
            }
            else {
                this.ready.delete(url);
            }
            await this.clock.sleep(CHECK_INTERVAL_MS, this.stopping.signal);
        }
    }

    private async check(url: string): Promise<boolean> {
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

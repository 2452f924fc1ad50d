import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamClient } from "../../src/ports/UpstreamClient.js";
import type { UpstreamRequest } from "../../src/ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";

/** Behaviour of an upstream for one attempt. */
type Script = (call: UpstreamRequest, signal: AbortSignal) => Promise<UpstreamResponse> | UpstreamResponse;

/** Runs one script for each attempt, in order. */
export class ScriptedUpstreamClient implements UpstreamClient {
    readonly sent: Array<{ upstream: string; call: UpstreamRequest; }> = [];
    private readonly scripts: Script[] = [];

    /** Creates a client without scripts. */
    static create(): ScriptedUpstreamClient {
        return new ScriptedUpstreamClient();
    }

    /** Adds scripts for the next attempts. */
    script(...scripts: Script[]): void {
        this.scripts.push(...scripts);
    }

    /** Runs the next script. */
    async send(upstream: Upstream, call: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        this.sent.push({ upstream: upstream.id, call });
        const script = this.scripts.shift();
        if (!script) {
            throw new Error(`no script left for an attempt at ${upstream.id}`);
        }
        return script(call, signal);
    }
}

import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamClient } from "../../src/ports/UpstreamClient.js";
import type { UpstreamRequest } from "../../src/ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";

/** Behaviour of an upstream for one attempt. */
type Script = (call: UpstreamRequest, signal: AbortSignal) => Promise<UpstreamResponse> | UpstreamResponse;

/** Behaviour of all upstreams for all attempts. */
type Behaviour = (
    upstream: Upstream,
    signal: AbortSignal,
    call: UpstreamRequest,
) => Promise<UpstreamResponse> | UpstreamResponse;

/** Runs one script for each attempt, in order. */
export class ScriptedUpstreamClient implements UpstreamClient {
    readonly sent: Array<{ upstream: string; call: UpstreamRequest; }> = [];
    private readonly scripts: Script[] = [];
    private behaviour: Behaviour | undefined;

    /** Creates a client without scripts. */
    static create(): ScriptedUpstreamClient {
        return new ScriptedUpstreamClient();
    }

    /** Adds scripts for the next attempts. */
    script(...scripts: Script[]): void {
        this.scripts.push(...scripts);
    }

    /** Sets the behaviour for attempts without a script. */
    serve(behaviour: Behaviour): void {
        this.behaviour = behaviour;
    }

    /** Runs the next script. */
    async send(upstream: Upstream, call: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        this.sent.push({ upstream: upstream.id, call });
        const script = this.scripts.shift();
        if (!script && this.behaviour) {
            return this.behaviour(upstream, signal, call);
        }
        if (!script) {
            throw new Error(`no script left for an attempt at ${upstream.id}`);
        }
        return script(call, signal);
    }
}

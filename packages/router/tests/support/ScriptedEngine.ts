import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A generation as the engine got it. */
export interface SeenCall {
    requestId: string;
    attemptId: string;
    group: string;
    epoch: number;
    prompt: string;
    maxTokens: number;
    resumeFromToken: number;
    priority: number;
}

/** What the engine does with one call; steps run in order, and an end that no step gives is a whole answer. */
export interface EngineScript {
    /** Refuses instead of answering. */
    refuse?: { status: number; error: string; retryAfterMs?: number; };
    /** Cuts the connection after this many tokens of this call. */
    breakAfter?: number;
    /** Goes silent after this many tokens. */
    silentAfter?: number;
    /** Sends each token twice. */
    double?: boolean;
    /** Puts a token of another request before each token. */
    cross?: boolean;
    /** Leaves out the token with this index. */
    skip?: number;
    /** Says a wrong token count at the end. */
    wrongCount?: boolean;
    /** Adds this many characters to each token. */
    padding?: number;
    /** Waits for `release()` before the first token. */
    hold?: boolean;
}

/** The token that every engine yields for a prompt at an index. */
export function tokenAt(prompt: string, index: number): string {
    return `${prompt.length % 97}:${index} `;
}

/** The whole answer to a prompt. */
export function answerTo(prompt: string, maxTokens: number): string {
    return Array.from({ length: maxTokens }, (_, index) => tokenAt(prompt, index)).join("");
}

/** A model engine whose behaviour a test scripts call by call. */
export class ScriptedEngine {
    readonly calls: SeenCall[] = [];
    readonly cancelled: string[] = [];
    /** Scripts of the next calls; empty: whole answers. */
    readonly scripts: EngineScript[] = [];
    tokensSent = 0;
    /** True while a connection takes no more. */
    isBlocked = false;
    running = 0;
    maxRunning = 0;
    /** Calls whose connection the other side closed early. */
    abandoned = 0;
    private readonly heldResponses = new Set<ServerResponse>();
    private held: Array<() => void> = [];

    private constructor(private readonly server: Server) {}

    static async start(): Promise<ScriptedEngine> {
        const server = createServer();
        const engine = new ScriptedEngine(server);
        server.on("request", (request, response) => void engine.handle(request, response));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return engine;
    }

    get url(): string {
        return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Sends a heartbeat on every held call. */
    beat(): void {
        this.heldResponses.forEach(response => response.write(": heartbeat\n\n"));
    }

    /** Lets all held calls go on. */
    release(): void {
        this.held.splice(0).forEach(go => go());
    }

    async stop(): Promise<void> {
        this.release();
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method === "DELETE") {
            this.cancelled.push(String(request.url).split("/").pop() ?? "");
            response.writeHead(204).end();
            return;
        }
        const parts: Buffer[] = [];
        for await (const part of request) {
            parts.push(part as Buffer);
        }
        const call = JSON.parse(Buffer.concat(parts).toString()) as SeenCall;
        this.calls.push(call);
        const script = this.scripts.shift() ?? {};
        if (script.refuse) {
            const { status, error, retryAfterMs } = script.refuse;
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify({ error, ran: false, retryAfterMs }));
            return;
        }
        this.running += 1;
        this.maxRunning = Math.max(this.maxRunning, this.running);
        response.on("close", () => {
            this.running -= 1;
            this.abandoned += response.writableFinished ? 0 : 1;
        });
        await this.answer(call, script, response);
    }

    private async drained(response: ServerResponse): Promise<void> {
        if (!response.writableNeedDrain || response.destroyed) {
            return;
        }
        this.isBlocked = true;
        await new Promise<void>(resolve => {
            const settle = () => {
                response.off("drain", settle).off("close", settle);
                resolve();
            };
            response.on("drain", settle).on("close", settle);
        });
        this.isBlocked = false;
    }

    private async answer(call: SeenCall, script: EngineScript, response: ServerResponse): Promise<void> {
        const { requestId, attemptId } = call;
        const send = (event: object) => response.write(`data: ${JSON.stringify(event)}\n\n`);
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.write(": heartbeat\n\n");
        if (script.hold) {
            this.heldResponses.add(response);
            await new Promise<void>(resolve => this.held.push(resolve));
            this.heldResponses.delete(response);
        }
        for (let index = call.resumeFromToken; index <= call.maxTokens; index++) {
            const sent = index - call.resumeFromToken;
            if (sent === script.breakAfter) {
                await new Promise<void>(resolve => response.write(": cut\n\n", () => resolve()));
                response.destroy();
                return;
            }
            if (sent === script.silentAfter || response.destroyed) {
                return;
            }
            if (index === call.maxTokens) {
                break;
            }
            const text = tokenAt(call.prompt, index) + "x".repeat(script.padding ?? 0);
            if (script.cross) {
                send({ requestId: "other", attemptId, index, text: "crossed " });
                send({ requestId, attemptId: "old-attempt", index, text: "late " });
            }
            if (index !== script.skip) {
                send({ requestId, attemptId, index, text });
            }
            if (script.double) {
                send({ requestId, attemptId, index, text });
            }
            this.tokensSent += 1;
            await this.drained(response);
        }
        send({ requestId, attemptId, done: true, tokenCount: call.maxTokens + (script.wrongCount ? 1 : 0) });
        response.end();
    }
}

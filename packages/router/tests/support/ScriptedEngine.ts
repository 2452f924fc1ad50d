import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A generation request that the engine received. */
export interface ReceivedCall {
    requestId: string;
    attemptId: string;
    group: string;
    epoch: number;
    prompt: string;
    maxTokens: number;
    resumeFromToken: number;
    priority: number;
}

/** How the engine behaves in one call. Unless a field makes it end earlier, the call gets a complete response. */
export interface EngineScript {
    /** Refuses the call. */
    refuse?: { status: number; error: string; retryAfterMs?: number; };
    /** Closes the connection after this many tokens of this call. */
    breakAfter?: number;
    /** Sends nothing more after this many tokens of this call, and keeps the connection open. */
    silentAfter?: number;
    /** Sends each token twice. */
    double?: boolean;
    /** Sends a token of another request and one of another attempt before each token. */
    cross?: boolean;
    /** Leaves out the token with this index. */
    skip?: number;
    /** Sends a wrong token count at the end. */
    wrongCount?: boolean;
    /** Appends this many characters to each token. */
    padding?: number;
    /** Waits for `release()` before the first token. */
    hold?: boolean;
}

/** Returns the token that every engine sends for a prompt at an index. */
export function tokenAt(prompt: string, index: number): string {
    return `${prompt.length % 97}:${index} `;
}

/** Returns the text of the complete response to a prompt. */
export function expectedText(prompt: string, maxTokens: number): string {
    return Array.from({ length: maxTokens }, (_, index) => tokenAt(prompt, index)).join("");
}

/** An engine whose behaviour a test sets for each call. */
export class ScriptedEngine {
    readonly calls: ReceivedCall[] = [];
    readonly cancelled: string[] = [];
    /** Scripts of the next calls; without one, a call gets a complete response. */
    readonly scripts: EngineScript[] = [];
    tokensSent = 0;
    /** True while the engine waits for a connection to drain. */
    isBlocked = false;
    running = 0;
    maxRunning = 0;
    /** Number of calls whose connection closed before the response was sent completely. */
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
    sendHeartbeat(): void {
        this.heldResponses.forEach(response => response.write(": heartbeat\n\n"));
    }

    /** Resumes all held calls. */
    release(): void {
        this.held.splice(0).forEach(resume => resume());
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
        const call = JSON.parse(Buffer.concat(parts).toString()) as ReceivedCall;
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
        await this.respond(call, script, response);
    }

    private async waitForDrain(response: ServerResponse): Promise<void> {
        if (!response.writableNeedDrain || response.destroyed) {
            return;
        }
        this.isBlocked = true;
        await new Promise<void>(resolve => {
            const finish = () => {
                response.off("drain", finish).off("close", finish);
                resolve();
            };
            response.on("drain", finish).on("close", finish);
        });
        this.isBlocked = false;
    }

    private async respond(call: ReceivedCall, script: EngineScript, response: ServerResponse): Promise<void> {
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
            await this.waitForDrain(response);
        }
        send({ requestId, attemptId, done: true, tokenCount: call.maxTokens + (script.wrongCount ? 1 : 0) });
        response.end();
    }
}

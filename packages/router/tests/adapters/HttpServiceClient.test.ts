import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpServiceClient } from "../../src/adapters/HttpServiceClient.js";

interface ResponseCase {
    status: number;
    headers?: Record<string, string>;
    expected: Record<string, unknown>;
}

const cases: readonly ResponseCase[] = [
    { status: 503, headers: { "did-not-run": "true" }, expected: { kind: "did-not-run" } },
    { status: 429, headers: { "did-not-run": "true", "retry-after-ms": "70" }, expected: { retryAfterMs: 70 } },
    { status: 200, headers: { "did-not-run": "true" }, expected: { kind: "did-not-run" } },
    ...[500, 502, 503, 504].map(status => ({ status, expected: { kind: "outcome-unknown" } })),
    // Callers learn from `ran` in a refusal of the router whether a call ran; a service's own response has none.
    ...[200, 400, 408, 421, 429].map(status => ({ status, expected: { kind: "answered" } })),
];

describe("HttpServiceClient", () => {
    let server: Server;
    let current: ResponseCase;
    const client = HttpServiceClient.create({ connectTimeoutMs: 1000, maxAnswerBytes: 100 });

    before(async () => {
        server = createServer((_, response) => response.writeHead(current.status, current.headers).end("text"));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    after(async () => {
        await client.close();
        await new Promise(resolve => server.close(resolve));
    });

    for (const responseCase of cases) {
        const { status, headers, expected } = responseCase;
        // Guards against a failure that counts as not run because of its status.
        it(`takes ${status} ${JSON.stringify(headers ?? {})} for ${JSON.stringify(expected)}`, async () => {
            current = responseCase;
            const { port } = server.address() as AddressInfo;
            const call = { requestId: "r1", body: new Uint8Array(), contentType: "text/plain" };
            const outcome = await client.call(`http://127.0.0.1:${port}`, "/a", call, new AbortController().signal);
            expect(outcome).to.deep.include(expected);
        });
    }
});

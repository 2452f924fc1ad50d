import { request } from "node:http";

let lastId = 0;

/**
 * Sends one client attempt on a new connection and resolves to what came back: status, signature, body, and whether the
 * body was whole. A connection that ends without an answer gives status 0.
 */
export function call({ host, port }, { hostName, path, method = "POST", key, deadlineMs, headers = {}, body = "" }) {
    lastId += 1;
    const id = `c${process.pid.toString(16)}-${lastId}`;
    const sentAtMs = performance.now();
    return new Promise(resolve => {
        const answer = { id, path, status: 0, body: "", isWhole: false, sentAtMs };
        const end = () => resolve({ ...answer, endedAtMs: performance.now() });
        const outgoing = request({
            host,
            port,
            method,
            path,
            agent: false,
            headers: {
                host: hostName,
                "x-fescuehaven-request-id": id,
                "x-fescuehaven-deadline-milliseconds": String(deadlineMs),
                ...(key && { "x-api-key": key }),
                ...headers,
                ...(method === "POST" && { "content-length": Buffer.byteLength(body) }),
            },
        }, response => {
            answer.status = response.statusCode;
            answer.signature = response.headers["x-fescuehaven-response-signature"];
            answer.retryAfter = response.headers["retry-after"];
            answer.answeredId = response.headers["x-fescuehaven-request-id"];
            response.setEncoding("latin1");
            response.on("data", part => answer.body += part);
            response.on("end", () => {
                answer.isWhole = response.complete;
                end();
            });
            response.on("error", end);
        });
        outgoing.on("error", end);
        // A client gives up at its deadline, and a little later if the answer is on its way.
        const timer = setTimeout(() => outgoing.destroy(new Error("given up")), deadlineMs + 1500);
        outgoing.on("close", () => clearTimeout(timer));
        outgoing.end(body);
    });
}

import { randomBytes } from "node:crypto";
import { request } from "node:http";

/** Sends one request and returns what a client sees of its answer. */
export function call(
    {
        host,
        port = 8227,
        method = "POST",
        path,
        headers = {},
        body,
        agent,
        deadlineMs = 4000,
        id = randomBytes(8).toString("hex"),
    },
) {
    return new Promise(resolve => {
        const sent = request({
            host,
            port,
            method,
            path,
            agent,
            headers: {
                host: "a.example",
                "x-fescuehaven-request-id": id,
                "x-fescuehaven-deadline-milliseconds": String(deadlineMs),
                ...headers,
            },
        });
        const result = { id, status: undefined, headers: {}, body: Buffer.alloc(0), isComplete: false };
        const finish = reason => resolve({ ...result, reason });
        const timer = setTimeout(() => {
            sent.destroy();
            finish("deadline");
        }, deadlineMs);
        sent.on("error", error => {
            clearTimeout(timer);
            finish(error.code ?? error.message);
        });
        sent.on("response", response => {
            result.status = response.statusCode;
            result.headers = response.headers;
            response.on("data", part => result.body = Buffer.concat([result.body, part]));
            response.on("end", () => {
                clearTimeout(timer);
                result.isComplete = response.complete;
                finish("end");
            });
            response.on("error", error => {
                clearTimeout(timer);
                finish(error.code);
            });
        });
        sent.end(body);
    });
}

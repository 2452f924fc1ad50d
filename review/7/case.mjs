import { call } from "../lib-2/Client.mjs";
import { configuration } from "../lib-2/configuration.mjs";
import { Gateways } from "../lib-2/Gateways.mjs";
import { Record } from "../lib-2/Record.mjs";
import { Store } from "../lib-2/Store.mjs";
import { Workers } from "../lib-2/Workers.mjs";

const WORKERS = 8;
/** Share of its requests that the failing worker fails. */
const FAILING_SHARE = 0.4;
const REQUESTS = 300;
const isTroubled = process.env.TROUBLE !== "0";
const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

const record = new Record(import.meta.dirname);
const store = new Store();
await store.listen();
const workers = new Workers(store);
const gateways = new Gateways({ storeAddress: store.address });
/** Ids of the requests that ran, with the worker. */
const runs = new Map();
const violations = [];
let exitCode = 2;

workers.onRun = (worker, id) => {
    runs.set(id, [...runs.get(id) ?? [], worker.id]);
    record.add(`${worker.id} runs ${id}`);
};

/** Runs a request as any worker does, and then fails some of them. */
async function runAndFail(request, response, id) {
    if (Math.random() >= FAILING_SHARE) {
        await workers.run(request, response, id);
        return;
    }
    await delay(20);
    record.add(`w1 fails ${id}, which has run: 503 without X-Fescuehaven-Not-Executed`);
    response.writeHead(503, { "x-fescuehaven-request-id": id, "x-fescuehaven-response-signature": `signed-${id}` }).end(
        "failed",
    );
}

try {
    store.put("config", "main", configuration);
    for (let index = 1; index <= WORKERS; index++) {
        await workers.add({ id: `w${index}`, zone: ["za", "zb", "zc"][index % 3], slots: 6 });
    }
    await gateways.start(["za", "zb", "zc"]);
    await delay(1500);
    if (isTroubled) {
        workers.get("w1").run = runAndFail;
        record.add(`w1 of ${WORKERS} workers fails ${FAILING_SHARE} of its requests`);
    }
    const calls = [];
    for (let index = 0; index < REQUESTS; index++) {
        const { host, name } = gateways.all[index % gateways.all.length];
        calls.push(
            call({ host, path: "/once/booking", body: `booking ${index}` }).then(({ id, status, headers }) => {
                record.add(`client: ${id} at ${name}: ${status ?? "no answer"}`);
                if ([408, 421, 429, 503].includes(status) && runs.has(id)) {
                    violations.push(id);
                    record.add(
                        `BROKEN: ${id} is answered ${status} and has run at ${runs.get(id)}; signature ${
                            headers["x-fescuehaven-response-signature"] ?? "none"
                        }`,
                    );
                }
            }),
        );
        await delay(20);
    }
    await Promise.all(calls);
    exitCode = violations.length > 0 ? 1 : 0;
}
catch (error) {
    record.add(`the case could not run: ${error.stack}`);
}
finally {
    await gateways.close();
    workers.close();
    store.close();
}
record.add(
    exitCode === 1
        ? `REFUSED is broken: ${violations.length} requests`
        : exitCode === 0
        ? "REFUSED held"
        : "could not run",
);
record.write();
process.exit(exitCode);

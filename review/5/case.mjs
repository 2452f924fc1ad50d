import { runCase } from "../lib/case.mjs";
import { call } from "../lib/client.mjs";
import { Gateway, sleep } from "../lib/gateways.mjs";
import { PlainService } from "../lib/plain.mjs";
import { configuration, HOST } from "../lib/settings.mjs";
import { Store } from "../lib/store.mjs";

/** How long a worker works on a request: less than the deadline, and than what is left of the grace period. */
const WORK_MS = 2500;
const DEADLINE_MS = 4000;
const SECOND_STOP_AFTER_MS = 1000;
const GRACE_PERIOD_MS = 8000;
const CALLS = 40;
const CALL_INTERVAL_MS = 25;

await runCase(import.meta.dirname, async ({ record, hasTrouble, temporary, closers }) => {
    const store = new Store();
    await store.listen();
    closers.push(() => store.close());
    store.put("config", "main", configuration);
    const service = new PlainService({ store, service: "app", workMs: WORK_MS });
    closers.push(() => service.close());
    for (const id of ["i-1", "i-2", "i-3"]) {
        await service.add(id);
    }
    const gateways = await Promise.all(
        [1, 2, 3].map(index => Gateway.create({ index, zone: "a", storeAddress: store.address, folder: temporary })),
    );
    closers.push(() => Promise.all(gateways.map(gateway => gateway.stop())));
    gateways.forEach(gateway => gateway.start());
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    await sleep(4000);
    const [stopped] = gateways;
    const calls = [];
    for (let index = 0; index < CALLS; index++) {
        calls.push(call(stopped, { hostName: HOST, path: "/bookings/x", deadlineMs: DEADLINE_MS, body: "{}" }));
        await sleep(CALL_INTERVAL_MS);
    }
    stopped.signal("SIGTERM");
    const stoppedAtMs = performance.now();
    record("SIGTERM", { gateway: stopped.name });
    await sleep(SECOND_STOP_AFTER_MS);
    if (hasTrouble) {
        stopped.signal("SIGTERM");
        record("SIGTERM once more", { gateway: stopped.name });
    }
    const answers = await Promise.all(calls);
    const exit = await Promise.race([stopped.exited, sleep(GRACE_PERIOD_MS)]);
    record("exit", { ...exit, afterMs: Math.round(performance.now() - stoppedAtMs) });
    const ranIds = new Set(service.runs.map(({ id }) => id));
    answers.forEach(({ id, status, isWhole }) => record("answer", { id, status, isWhole, hasRun: ranIds.has(id) }));
    const lost = answers.filter(({ id, isWhole }) => ranIds.has(id) && !isWhole);
    return lost.map(({ id }) => `LOST: ${id} was passed on to a worker, and its connection ended without an answer`);
});

import { runCase } from "../lib/case.mjs";
import { call } from "../lib/client.mjs";
import { Fleet } from "../lib/engine.mjs";
import { Gateway, sleep } from "../lib/gateways.mjs";
import { configuration, models, streamCall } from "../lib/settings.mjs";
import { Store } from "../lib/store.mjs";

const DOMAINS = [0, 1, 2];
const OUTAGE_MS = 4500;

await runCase(import.meta.dirname, async ({ record, hasTrouble, temporary, closers }) => {
    const store = new Store();
    await store.listen();
    closers.push(() => store.close());
    store.put("config", "main", configuration);
    const fleet = new Fleet({ store, service: "llm", models, log: record });
    closers.push(() => fleet.close());
    for (const domain of DOMAINS) {
        for (let index = 0; index < 7; index++) {
            await fleet.add(`i-${domain}${index}`, { domain, staged: ["m0"] });
            await sleep(50);
        }
    }
    const gateways = await Promise.all(
        [1, 2, 3].map(index => Gateway.create({ index, zone: "a", storeAddress: store.address, folder: temporary })),
    );
    gateways.forEach(gateway => gateway.start());
    closers.push(() => Promise.all(gateways.map(gateway => gateway.stop())));
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    await sleep(7000);

    const answers = [];
    let isRunning = true;
    const clients = Array.from({ length: 24 }, async (_, client) => {
        for (let turn = client; isRunning; turn++) {
            const answer = await call(gateways[turn % gateways.length], streamCall);
            answers.push(answer);
            record("answer", { id: answer.id, status: answer.status, isWhole: answer.isWhole });
            await sleep(answer.status === 200 ? 20 : 300);
        }
    });
    const groups = () =>
        [...fleet.engines.values()].map(({ id, isAlive, group }) =>
            `${id}${isAlive ? "" : "!"}:${group?.name}@${group?.epoch} ${group?.state}`
        );
    await sleep(2000);
    record("before", groups());
    if (hasTrouble) {
        const serving = domain => {
            const heads = [...fleet.engines.values()].filter(({ id, isAlive, domain: of, group }) =>
                isAlive && of === domain && group?.state === "open" && group.members[0] === id
            );
            return heads.map(({ group }) => group).sort((one, other) => one.epoch - other.epoch);
        };
        store.setMode("busy");
        record("the store is down");
        await sleep(400);
        for (const domain of DOMAINS) {
            const [group] = serving(domain);
            record("worker crashes", { engine: group.members[1], group: group.name });
            fleet.engines.get(group.members[1]).crash();
        }
        await sleep(2900);
        record("during the outage", groups());
        const leader = gateways.find(({ name }) => store.get("fescue_controllers", "fleet").specification.vm === name);
        record("the process that wrote the lease is killed", { gateway: leader.name });
        leader.signal("SIGKILL");
        void sleep(3500).then(() => leader.start());
        await sleep(600);
        for (const domain of DOMAINS) {
            const group = serving(domain).find(({ members }) =>
                members.every(id => fleet.engines.get(id).isAlive && fleet.engines.get(id).lastWrittenAtMs > 0)
                && !members.includes(`i-${domain}6`)
            );
            record("worker crashes", { engine: group?.members[1], group: group?.name });
            fleet.engines.get(group.members[1]).crash();
        }
        await sleep(OUTAGE_MS - 3900);
        fleet.engines.forEach(({ id, lastWrittenAtMs }) => {
            if (performance.now() - lastWrittenAtMs > 3600) {
                store.remove("servers", id);
            }
        });
        store.setMode("up");
        record("the store is back");
    }
    await sleep(6000);
    record("after", groups());
    isRunning = false;
    await Promise.all(clients);
    return fleet.broken;
});

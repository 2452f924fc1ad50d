import { call } from "../lib-2/Client.mjs";
import { configuration } from "../lib-2/configuration.mjs";
import { Gateways } from "../lib-2/Gateways.mjs";
import { Record } from "../lib-2/Record.mjs";
import { Store } from "../lib-2/Store.mjs";
import { Workers } from "../lib-2/Workers.mjs";

const STALL_MS = 4000;
const ROUNDS = 6;
/** How often the controller stands still in a round, and for how long. */
const FREEZES = 3;
const FREEZE_MS = 850;
const isTroubled = process.env.TROUBLE !== "0";
const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

const record = new Record(import.meta.dirname);
const models = [
    { name: "large", size: 3, share: 0.6, pace: 1, loadTimeS: 3, warmS: 0.5 },
    { name: "small", size: 2, share: 0.4, pace: 1, loadTimeS: 2, warmS: 0.4 },
];
const violations = [];

/** Plays one round on a system of its own, in which the first controller is still the controller. */
async function playRound(round) {
    const store = new Store();
    await store.listen();
    const workers = new Workers({ store, models, stallMs: STALL_MS });
    const gateways = new Gateways({ storeAddress: store.address, bounds: { stallMs: STALL_MS } });
    /** The last membership that each worker has had. */
    const lastGroups = new Map();
    let isSending = true;

    workers.onEvent = event => {
        const { kind, worker, code, operation, group, epoch } = event;
        if (kind === "run") {
            return;
        }
        if (kind === "broken") {
            record.add(`${worker}, head of ${group} ${epoch}, is broken`);
            return;
        }
        record.add(`${worker}: ${operation} ${group ?? event.model} ${epoch ?? ""} ${event.members ?? ""} -> ${code}`);
        if (operation === "join" && code === 202) {
            const last = lastGroups.get(worker);
            const head = last && last.name !== group ? workers.get(last.members[0]) : undefined;
            if (head && head.id !== worker && head.group?.epoch === last.epoch && workers.isHolding(head)) {
                const state = workers.isWhole(head) ? head.group.state : "standing still and not yet broken";
                violations.push(
                    `${worker} takes a join of ${group} ${epoch} while ${head.id}, the head of its group ${last.name} ${last.epoch}, is ${state}`,
                );
                record.add(`BROKEN: ${violations.at(-1)}`);
            }
            lastGroups.set(worker, { name: group, epoch, members: event.members });
        }
    };

    const controller = () => {
        const { vm } = store.peek("fescue_controllers", "fleet")?.specification ?? {};
        return gateways.all.find(({ name }) => name === vm);
    };
    const openHead = model =>
        [...workers.all.values()].find(worker =>
            worker.model === model && worker.group?.rank === 0 && worker.group.state === "open"
        );
    const sendStreams = async model => {
        for (let index = 0; isSending; index++) {
            const { host } = gateways.all[index % gateways.all.length];
            void call({
                host,
                path: "/stream/x",
                headers: {
                    "x-fescuehaven-model": model,
                    "x-fescuehaven-token-usage": "200,120",
                    "x-fescuehaven-prompt-prefix": `a${index}:200`,
                },
                body: "hello",
            }).then(({ id, status, isComplete }) =>
                isSending
                && record.add(`client: ${id} (${model}) ${status ?? "no answer"}${isComplete ? "" : ", incomplete"}`)
            );
            await delay(250);
        }
    };

    try {
        store.put("config", "main", configuration({ models }));
        for (
            const [id, domain, zone] of [
                ["a1", "da", "za"],
                ["a2", "da", "za"],
                ["a3", "da", "za"],
                ["b1", "db", "zb"],
                ["b2", "db", "zb"],
            ]
        ) {
            await workers.add({ id, service: "llm", zone, domain });
        }
        await gateways.start(["za", "zb", "zc"]);
        await until("all groups are open", () => openHead("large") && openHead("small"));
        workers.hasTraffic = true;
        void sendStreams("large");
        void sendStreams("small");
        await delay(1500);
        const head = openHead("large");
        const { name, epoch, members } = head.group;
        const { term } = store.peek("fescue_controllers", "fleet").specification;
        record.add(
            `round ${round}: ${head.id}, head of ${name} ${epoch}, is partitioned from the store (controller ${controller().name}, term ${term})`,
        );
        workers.cutFromStore(head);
        await until(
            "the other members have left",
            () => members.slice(1).every(id => workers.get(id).group?.epoch !== epoch),
            9000,
        );
        for (let freeze = 0; freeze < FREEZES && violations.length === 0; freeze++) {
            await delay(100 + Math.random() * 150);
            if (isTroubled) {
                const frozen = controller();
                record.add(`${frozen.name}, the controller, stands still for ${FREEZE_MS} ms`);
                frozen.child.kill("SIGSTOP");
                await delay(FREEZE_MS);
                frozen.child.kill("SIGCONT");
            }
            else {
                await delay(FREEZE_MS);
            }
        }
        await delay(600);
        workers.reachStoreAgain(head);
        record.add(`${head.id} reaches the store again`);
    }
    finally {
        isSending = false;
        await gateways.close();
        workers.close();
        store.close();
    }
}

async function until(description, condition, ms = 15_000) {
    const endsAtMs = performance.now() + ms;
    while (!condition()) {
        if (performance.now() > endsAtMs) {
            throw new Error(`not reached: ${description}`);
        }
        await delay(10);
    }
}

let exitCode = 0;
try {
    for (let round = 1; round <= ROUNDS && violations.length === 0; round++) {
        await playRound(round);
    }
    exitCode = violations.length > 0 ? 1 : 0;
}
catch (error) {
    exitCode = violations.length > 0 ? 1 : 2;
    record.add(`the case could not run on: ${error.stack}`);
}
record.add(exitCode === 1 ? "TWO is broken" : exitCode === 0 ? "TWO held" : "could not run");
record.write();
process.exit(exitCode);

import type { Random } from "@fescuehaven/runtime";
import { isPortFree } from "./isPortFree.js";

/** Range of base ports, below the ephemeral ports that outgoing connections use. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;

/** Range of second octets of the loopback addresses. */
const FIRST_OCTET = 16;
const OCTET_COUNT = 200;

/** Attempts to find an unused network. */
const MAX_ATTEMPTS = 50;

/** The loopback network of one run: addresses `127.OCTET.x.y` and the base port. */
interface LoopbackNetwork {
    octet: number;
    basePort: number;
}

/** Chooses a loopback network that no other run uses, by checking that `127.OCTET.0.1:BASE` can be bound. */
export async function chooseNetwork(random: Random): Promise<LoopbackNetwork> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const octet = FIRST_OCTET + Math.floor(random.next() * OCTET_COUNT);
        const basePort = FIRST_PORT + Math.floor(random.next() * PORT_COUNT);
        if (await isPortFree(`127.${octet}.0.1`, basePort)) {
            return { octet, basePort };
        }
    }
    throw new Error("No free loopback network was found.");
}

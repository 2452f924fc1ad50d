import type { Random } from "@fescuehaven/runtime";
import { chooseNetwork } from "../network/chooseNetwork.js";
import { isPortFree } from "../network/isPortFree.js";

/** The network that the README's commands and the example objects use. */
const DEMO_NETWORK = { octet: 77, basePort: 17_700 };

/** Returns the demo's default network, or another free one if its base port is already in use. */
export async function chooseDemoNetwork(random: Random): Promise<{ octet: number; basePort: number; }> {
    const { octet, basePort } = DEMO_NETWORK;
    return (await isPortFree(`127.${octet}.0.1`, basePort)) ? DEMO_NETWORK : chooseNetwork(random);
}

import type { DigestCost } from "./DigestCost.js";
import { measureDigests } from "./measureDigests.js";
import { measureProbing } from "./measureProbing.js";
import { measureWire } from "./measureWire.js";
import type { ProbingCost } from "./ProbingCost.js";
import type { WireCost } from "./WireCost.js";

const ROUTER_COUNTS = [2, 8, 53];
const VM_COUNT = 100;
const PROCESS_COUNTS = [10, 100, 320];
const OBJECT_COUNT = 2000;

/** Figures of one run of the experiment. */
interface SpreadCost {
    wire: WireCost[];
    probing: ProbingCost[];
    digests: DigestCost[];
}

/** Measures what sharing evidence and configuration costs, against probing by every router. */
export async function spreadCost(): Promise<SpreadCost> {
    const wire = await measureWire();
    const probing: ProbingCost[] = [];
    for (const routers of ROUTER_COUNTS) {
        probing.push(await measureProbing("all-probe-all", routers, VM_COUNT));
        probing.push(await measureProbing("shared", routers, VM_COUNT));
    }
    const digests: DigestCost[] = [];
    for (const processes of PROCESS_COUNTS) {
        digests.push(await measureDigests(processes, OBJECT_COUNT));
    }
    return { wire, probing, digests };
}

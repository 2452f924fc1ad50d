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

/** Measurements of one run. */
interface ReplicationCost {
    wire: WireCost[];
    probing: ProbingCost[];
    digests: DigestCost[];
}

/** Measures the cost of sharing evidence and configuration between processes, compared with probing by every router. */
export async function measureReplicationCost(): Promise<ReplicationCost> {
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

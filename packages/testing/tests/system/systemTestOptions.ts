import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import path from "node:path";

/** Options with which every test of real processes starts its system. */
export const systemTestOptions = {
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    binaries: path.resolve(import.meta.dirname, "../../../../dist"),
};

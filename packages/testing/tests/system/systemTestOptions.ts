import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import path from "node:path";

/** What every process test starts its system with. */
export const systemTestOptions = {
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    binaries: path.resolve(import.meta.dirname, "../../../../dist"),
};

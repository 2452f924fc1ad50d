import { readFile } from "node:fs/promises";
import type { ProcessUsage } from "./ProcessUsage.js";

/** Clock ticks per second in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

/** Indexes of the user and system time in `/proc/PID/stat`, counted from the field after the command name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

const KIB_PER_MIB = 1024;

/** Reads a process's resource usage from `/proc`. Throws if there is no such process. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
    const [stat, status, io] = await Promise.all(
        ["stat", "status", "io"].map(file => readFile(`/proc/${pid}/${file}`, "utf8")),
    );
    const fields = (stat ?? "").slice((stat ?? "").lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
    return {
        cpuSeconds: ticks / TICKS_PER_SECOND,
        residentMiB: numberAfter(status ?? "", "VmRSS:") / KIB_PER_MIB,
        transferredBytes: numberAfter(io ?? "", "rchar:") + numberAfter(io ?? "", "wchar:"),
    };
}

function numberAfter(text: string, label: string): number {
    const line = text.split("\n").find(candidate => candidate.startsWith(label)) ?? "";
    return Number.parseInt(line.slice(label.length), 10);
}

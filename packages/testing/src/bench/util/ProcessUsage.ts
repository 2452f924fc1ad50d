/** What a process has used so far. */
export interface ProcessUsage {
    /** Processor time since its start, s. */
    cpuSeconds: number;
    /** Memory held now, MiB. */
    residentMiB: number;
    /** Bytes that it read and wrote through system calls since its start; sockets are most of it. */
    transferredBytes: number;
}

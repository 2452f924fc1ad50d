/** Resources that a process has used so far. */
export interface ProcessUsage {
    /** Processor time since the start of the process. */
    cpuSeconds: number;
    /** Current resident memory. */
    residentMiB: number;
    /** Bytes read and written by system calls since the start of the process, mostly on sockets. */
    transferredBytes: number;
}

import { z } from "zod";
import type { CallLimiter } from "../CallLimiter.js";
import type { VmDirectory } from "../ports/VmDirectory.js";
import type { VmListOutcome } from "../VmListOutcome.js";
import { type VmRecord, vmRecordSchema } from "../VmRecord.js";
import type { PlatformHttp } from "./PlatformHttp.js";

/** What an `HttpVmDirectory` is made of. */
interface HttpVmDirectoryOptions {
    http: PlatformHttp;
    limiter: CallLimiter;
}

const RETRY_AFTER_MS = 500;
const vmListSchema = z.object({ vms: z.array(vmRecordSchema) });

/** The platform's list of VMs over HTTP. An unchanged list is not sent again. */
export class HttpVmDirectory implements VmDirectory {
    private known: { etag: string; vms: VmRecord[]; } | undefined;

    private constructor(private readonly options: HttpVmDirectoryOptions) {}

    /** Creates the adapter. */
    static create(options: HttpVmDirectoryOptions): HttpVmDirectory {
        return new HttpVmDirectory(options);
    }

    /** Reads the list. */
    async listVms(): Promise<VmListOutcome> {
        const turn = await this.options.limiter.turn("read");
        if (turn.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: turn.retryAfterMs };
        }
        const headers: Record<string, string> = this.known ? { "if-none-match": this.known.etag } : {};
        const answer = await this.options.http.call({ method: "GET", path: "/v1/vms", headers });
        if (answer.kind === "answered" && answer.status === 304 && this.known) {
            return { kind: "listed", vms: this.known.vms };
        }
        const parsed = answer.kind === "answered" && answer.status === 200
            ? vmListSchema.safeParse(answer.body)
            : undefined;
        if (answer.kind !== "answered" || !parsed?.success) {
            return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        }
        const { vms } = parsed.data;
        this.known = answer.etag === undefined ? undefined : { etag: answer.etag, vms };
        return { kind: "listed", vms };
    }
}

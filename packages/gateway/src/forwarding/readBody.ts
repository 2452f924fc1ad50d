import { GrowingBuffer } from "./GrowingBuffer.js";

/** Result of reading a body. */
type BodyResult = { kind: "completed"; bytes: Buffer; } | { kind: "broken"; reason: string; };

/** Responses of plain services and error responses are far smaller; a process reads many at once in 350 MB. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Reads a body to its end; a longer one than the limit is broken. Never rejects. */
export async function readBody(body: AsyncIterable<Buffer>, maxBytes = MAX_BODY_BYTES): Promise<BodyResult> {
    const read = GrowingBuffer.create();
    try {
        for await (const chunk of body) {
            if (read.length + chunk.length > maxBytes) {
                return { kind: "broken", reason: `the body is longer than ${maxBytes} bytes` };
            }
            read.append(chunk);
        }
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : String(error) };
    }
    return { kind: "completed", bytes: read.bytes };
}

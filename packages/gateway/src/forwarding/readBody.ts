/** Result of reading a body. */
type BodyResult = { kind: "completed"; bytes: Buffer; } | { kind: "broken"; reason: string; };

/** Responses of plain services and error responses are far smaller; a process reads many at once in 350 MB. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Reads a body to its end; a longer one than the limit is broken. Never rejects. */
export async function readBody(body: AsyncIterable<Buffer>, maxBytes = MAX_BODY_BYTES): Promise<BodyResult> {
    let bytes = Buffer.alloc(0);
    let length = 0;
    try {
        for await (const chunk of body) {
            const newLength = length + chunk.length;
            if (newLength > maxBytes) {
                return { kind: "broken", reason: `the body is longer than ${maxBytes} bytes` };
            }
            // Chunks are copied: tiny ones would take far more memory as buffers of their own.
            if (newLength > bytes.length) {
                bytes = Buffer.concat([bytes.subarray(0, length)], Math.max(newLength, 2 * bytes.length));
            }
            chunk.copy(bytes, length);
            length = newLength;
        }
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : String(error) };
    }
    return { kind: "completed", bytes: bytes.subarray(0, length) };
}

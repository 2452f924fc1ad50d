/** One block of a server-sent event stream. */
type SseBlock = { kind: "data"; data: string; } | { kind: "comment"; };

/** Splits a byte stream into server-sent events. Blocks longer than the limit are an error of the sender. */
export class SseParser {
    private readonly decoder = new TextDecoder();
    private buffer = "";

    private constructor(private readonly maxBlockCharacters: number) {}

    /** Creates a parser. */
    static create(maxBlockCharacters: number): SseParser {
        return new SseParser(maxBlockCharacters);
    }

    /** Parses bytes and returns the blocks that they complete; undefined when a block is too long. */
    push(bytes: Uint8Array): SseBlock[] | undefined {
        this.buffer += this.decoder.decode(bytes, { stream: true });
        const blocks: SseBlock[] = [];
        for (;;) {
            const end = /\r?\n\r?\n/.exec(this.buffer);
            if (!end) {
                return this.buffer.length > this.maxBlockCharacters ? undefined : blocks;
            }
            const block = parseBlock(this.buffer.slice(0, end.index));
            this.buffer = this.buffer.slice(end.index + end[0].length);
            if (block) {
                blocks.push(block);
            }
        }
    }
}

function parseBlock(text: string): SseBlock | undefined {
    const lines = text.split(/\r?\n/);
    const data = lines.filter(line => line.startsWith("data:")).map(line => line.slice(5).replace(/^ /, ""));
    if (data.length > 0) {
        return { kind: "data", data: data.join("\n") };
    }
    return lines.some(line => line.startsWith(":")) ? { kind: "comment" } : undefined;
}

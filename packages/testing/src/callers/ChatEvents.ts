/** Reads the server-sent events of a streamed chat answer. */
export class ChatEvents {
    /** Texts of the tokens so far. */
    readonly parts: string[] = [];
    /** True once the closing event came. */
    isWhole = false;
    /** What an error event said. */
    failure: string | undefined;

    private readonly decoder = new TextDecoder();
    private buffered = "";

    private constructor() {}

    /** Creates a reader that has read nothing. */
    static create(): ChatEvents {
        return new ChatEvents();
    }

    /** Takes the next bytes of the stream. */
    feed(bytes: Uint8Array): void {
        this.buffered += this.decoder.decode(bytes, { stream: true });
        const events = this.buffered.split("\n\n");
        this.buffered = events.pop() ?? "";
        events.forEach(event => this.take(event));
    }

    private take(event: string): void {
        const lines = event.split("\n");
        const data = lines.find(line => line.startsWith("data: "))?.slice("data: ".length);
        if (lines.includes("event: error")) {
            this.failure = data ?? "error event";
        }
        else if (data === "[DONE]") {
            this.isWhole = true;
        }
        else if (data !== undefined) {
            this.takeChunk(data);
        }
    }

    private takeChunk(data: string): void {
        const chunk = JSON.parse(data) as { choices: Array<{ delta: { content?: string; }; }>; };
        const content = chunk.choices[0]?.delta.content;
        if (content !== undefined && content !== "") {
            this.parts.push(content);
        }
    }
}

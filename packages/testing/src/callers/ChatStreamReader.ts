/** Parses the server-sent events of a streamed chat response. */
export class ChatStreamReader {
    /** Texts of the tokens so far. */
    readonly parts: string[] = [];
    /** True once the closing event was received. */
    isComplete = false;
    /** Data of an error event; undefined if there was none. */
    failure: string | undefined;

    private readonly decoder = new TextDecoder();
    private buffered = "";

    private constructor() {}

    /** Creates a reader for a new stream. */
    static create(): ChatStreamReader {
        return new ChatStreamReader();
    }

    /** Parses the next bytes of the stream; an incomplete event is kept until the rest arrives. */
    feed(bytes: Uint8Array): void {
        this.buffered += this.decoder.decode(bytes, { stream: true });
        const events = this.buffered.split("\n\n");
        this.buffered = events.pop() ?? "";
        events.forEach(event => this.handleEvent(event));
    }

    private handleEvent(event: string): void {
        const lines = event.split("\n");
        const data = lines.find(line => line.startsWith("data: "))?.slice("data: ".length);
        if (lines.includes("event: error")) {
            this.failure = data ?? "error event";
        }
        else if (data === "[DONE]") {
            this.isComplete = true;
        }
        else if (data !== undefined) {
            this.handleChunk(data);
        }
    }

    private handleChunk(data: string): void {
        const chunk = JSON.parse(data) as { choices: Array<{ delta: { content?: string; }; }>; };
        const content = chunk.choices[0]?.delta.content;
        if (content !== undefined && content !== "") {
            this.parts.push(content);
        }
    }
}

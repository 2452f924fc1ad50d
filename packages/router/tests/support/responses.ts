import type { LightMyRequestResponse } from "fastify";

interface ErrorBody {
    type: string;
    message: string;
    ran: string;
    retryAfterMs?: number;
}

interface StreamedResponse {
    text: string;
    isDone: boolean;
    error?: ErrorBody;
}

/** Returns the text of a complete chat response. */
export function contentOf(response: LightMyRequestResponse): string {
    const body = response.json<{ choices: Array<{ message: { content: string; }; }>; }>();
    return body.choices[0]?.message.content ?? "";
}

/** Returns the error of a refused call. */
export function errorOf(response: LightMyRequestResponse): ErrorBody {
    return response.json<{ error: ErrorBody; }>().error;
}

/** Returns the text of a streamed chat response and how it ended. */
export function readChatStream(payload: string): StreamedResponse {
    let text = "";
    for (const block of payload.split("\n\n").filter(item => item !== "")) {
        if (block.startsWith("event: error")) {
            const { error } = JSON.parse(block.split("data: ")[1] ?? "") as { error: ErrorBody; };
            return { text, isDone: false, error };
        }
        if (block === "data: [DONE]") {
            return { text, isDone: true };
        }
        const chunk = JSON.parse(block.slice("data: ".length)) as {
            choices: Array<{ delta: { content?: string; }; }>;
        };
        text += chunk.choices[0]?.delta.content ?? "";
    }
    return { text, isDone: false };
}

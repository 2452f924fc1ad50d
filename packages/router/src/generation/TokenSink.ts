/** Receives the tokens of a response in order, each once. Resolves when the next one may be passed. */
export type TokenSink = (text: string, index: number) => Promise<void>;

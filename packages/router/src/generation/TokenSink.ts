/** Takes the tokens of an answer in order, each once. Resolves when the next one may be given. */
export type TokenSink = (text: string, index: number) => Promise<void>;

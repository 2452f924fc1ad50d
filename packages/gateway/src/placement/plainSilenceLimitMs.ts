/**
 * A plain upstream that is silent for longer with requests in flight is avoided; several times the usual response time.
 */
export const PLAIN_SILENCE_LIMIT_MS = 400;

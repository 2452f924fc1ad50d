/** No gateway listens there. A name would be looked up, and the process would wait for all look-ups at its end. */
export const unreachableAddress = "127.0.0.1:1";

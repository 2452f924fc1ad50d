import type { Interceptor } from "@connectrpc/connect";
import { formatTimestamp, type HybridClock, hybridHeader, parseTimestamp } from "@fescuehaven/telemetry";

/** Sends and reads hybrid timestamps on peer calls in both directions. Works for clients and servers. */
export function hybridClockInterceptor(hybridClock: HybridClock): Interceptor {
    const observe = (headers: Headers) => {
        const stamp = parseTimestamp(headers.get(hybridHeader) ?? "");
        if (stamp) {
            hybridClock.observe(stamp);
        }
    };
    return next => async request => {
        observe(request.header);
        request.header.set(hybridHeader, formatTimestamp(hybridClock.next()));
        const response = await next(request);
        observe(response.header);
        response.header.set(hybridHeader, formatTimestamp(hybridClock.next()));
        return response;
    };
}

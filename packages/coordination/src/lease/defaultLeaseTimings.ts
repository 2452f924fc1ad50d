import { leaseTimingsFor } from "./leaseTimingsFor.js";

/** Timings of a zone lease whose duration is not configured. */
export const defaultLeaseTimings = leaseTimingsFor(6000);

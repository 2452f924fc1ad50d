import { leaseTimingsFor } from "./leaseTimingsFor.js";

/** Times of a zone lease unless set otherwise. */
export const defaultLeaseTimings = leaseTimingsFor(6000);

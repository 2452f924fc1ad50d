import ModernError from "modern-errors";

/** A broken invariant or a start that cannot go on; it stops the process. */
export const DaemonError = ModernError.subclass("DaemonError");

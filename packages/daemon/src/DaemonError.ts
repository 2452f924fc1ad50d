import ModernError from "modern-errors";

/** A violated invariant or a failed startup. It stops the process. */
export const DaemonError = ModernError.subclass("DaemonError");

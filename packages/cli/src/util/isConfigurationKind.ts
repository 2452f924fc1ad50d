import { configurationKinds } from "@fescuehaven/resources";

/** A kind of object that operators may write. */
type ConfigurationKind = (typeof configurationKinds)[number];

/** Returns whether operators may write objects of this kind. */
export function isConfigurationKind(kind: string): kind is ConfigurationKind {
    return (configurationKinds as readonly string[]).includes(kind);
}

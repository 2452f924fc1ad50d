import { configurationKinds } from "@fescuehaven/resources";

/** A kind that operators write. */
type ConfigurationKind = (typeof configurationKinds)[number];

/** Whether operators may write objects of this kind. */
export function isConfigurationKind(kind: string): kind is ConfigurationKind {
    return (configurationKinds as readonly string[]).includes(kind);
}

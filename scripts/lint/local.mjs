import path from "node:path";

/** Counts the names that one export statement adds, values and types apart. */
function exportedNames(node) {
    const declaration = node.declaration;
    if (!declaration) {
        return node.specifiers.map(specifier => ({
            name: specifier.exported.name,
            isType: node.exportKind === "type",
        }));
    }
    if (declaration.type === "VariableDeclaration") {
        return declaration.declarations.map(item => ({ name: item.id.name, isType: false }));
    }
    const isType = declaration.type === "TSInterfaceDeclaration" || declaration.type === "TSTypeAliasDeclaration";
    return [{ name: declaration.id?.name ?? "", isType }];
}

/** A schema and the type inferred from it may share a file; anything else is one export a file. */
function isSchemaAndType(names) {
    const value = names.find(item => !item.isType);
    const type = names.find(item => item.isType);
    if (names.length !== 2 || !value || !type) {
        return false;
    }
    const lowered = value.name.toLowerCase();
    return lowered === `${type.name.toLowerCase()}schema` || lowered === type.name.toLowerCase();
}

const oneExport = {
    meta: { type: "suggestion", messages: { many: "One export a file; found {{names}}." }, schema: [] },
    create(context) {
        if (path.basename(context.filename) === "index.ts") {
            return {};
        }
        const names = [];
        return {
            ExportNamedDeclaration(node) {
                names.push(...exportedNames(node));
            },
            "Program:exit"(node) {
                if (names.length > 1 && !isSchemaAndType(names)) {
                    context.report({
                        node,
                        messageId: "many",
                        data: { names: names.map(item => item.name).join(", ") },
                    });
                }
            },
        };
    },
};

const portsDoNotImportAdapters = {
    meta: { type: "problem", messages: { inward: "Only adapters, bin and index files import adapters." }, schema: [] },
    create(context) {
        const file = context.filename;
        if (/\/(adapters|bin|wiring)\//.test(file) || path.basename(file) === "index.ts") {
            return {};
        }
        return {
            ImportDeclaration(node) {
                if (/\/adapters\//.test(node.source.value)) {
                    context.report({ node, messageId: "inward" });
                }
            },
        };
    },
};

export const local = {
    rules: { "one-export": oneExport, "ports-do-not-import-adapters": portsDoNotImportAdapters },
};

import path from "node:path";

/** Returns the names that an export statement adds, each marked as a type or a value. */
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

/** Returns true for a schema and the type inferred from it, the only two exports that may share a file. */
function isSchemaAndType(names) {
    const value = names.find(item => !item.isType);
    const type = names.find(item => item.isType);
    if (names.length !== 2 || !value || !type) {
        return false;
    }
    const valueName = value.name.toLowerCase();
    return valueName === `${type.name.toLowerCase()}schema` || valueName === type.name.toLowerCase();
}

const oneExport = {
    meta: {
        type: "suggestion",
        messages: { tooMany: "A file may have only one export; found {{names}}." },
        schema: [],
    },
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
                        messageId: "tooMany",
                        data: { names: names.map(item => item.name).join(", ") },
                    });
                }
            },
        };
    },
};

const portsDoNotImportAdapters = {
    meta: {
        type: "problem",
        messages: { adapterImport: "Only files in adapters, bin or wiring and index.ts may import adapters." },
        schema: [],
    },
    create(context) {
        const file = context.filename;
        if (/\/(adapters|bin|wiring)\//.test(file) || path.basename(file) === "index.ts") {
            return {};
        }
        return {
            ImportDeclaration(node) {
                if (/\/adapters\//.test(node.source.value)) {
                    context.report({ node, messageId: "adapterImport" });
                }
            },
        };
    },
};

export const local = {
    rules: { "one-export": oneExport, "ports-do-not-import-adapters": portsDoNotImportAdapters },
};

import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";
import { local } from "./scripts/lint/local.mjs";

export default tseslint.config(
    { ignores: ["**/node_modules/**", "**/dist/**", "target/**", "**/gen/**", "**/results/**", "spec/out/**"] },
    {
        files: ["{packages/*,platform}/{src,tests}/**/*.ts"],
        extends: [...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSNullKeyword", message: "Use undefined, not null." },
                { selector: "Literal[raw='null']", message: "Use undefined, not null." },
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
            ],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/explicit-module-boundary-types": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "typeLike", format: ["PascalCase"] },
            ],
            "@typescript-eslint/no-unused-expressions": "off",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/only-throw-error": [
                "error",
                { allow: [{ from: "package", package: "modern-errors", name: "SpecificErrorInstance" }] },
            ],
            "@typescript-eslint/no-unused-vars": [
                "error",
                { argsIgnorePattern: "^_", varsIgnorePattern: "^_", ignoreRestSiblings: true },
            ],
        },
    },
    {
        files: ["{packages/*,platform}/src/**/*.ts"],
        plugins: { jsdoc, local },
        rules: {
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: {
                    ArrowFunctionExpression: true,
                    ClassDeclaration: true,
                    FunctionDeclaration: true,
                    MethodDefinition: true,
                },
                contexts: [
                    "ExportNamedDeclaration > TSInterfaceDeclaration",
                    "ExportNamedDeclaration > TSTypeAliasDeclaration",
                ],
                checkConstructors: false,
                checkGetters: false,
            }],
            "local/one-export": "error",
            "local/ports-do-not-import-adapters": "error",
        },
    },
);

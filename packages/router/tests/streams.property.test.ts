import { expect } from "chai";
import fc from "fast-check";
import { readChatStream } from "./support/responses.js";
import { helloPrompt, RouterFixture } from "./support/RouterFixture.js";
import { type EngineScript, expectedText, ScriptedEngine } from "./support/ScriptedEngine.js";

const SEED = 20_260_101;
const RUNS = 150;

const scriptArbitrary: fc.Arbitrary<EngineScript> = fc.record({
    breakAfter: fc.option(fc.integer({ min: 0, max: 13 }), { nil: undefined }),
    silentAfter: fc.option(fc.integer({ min: 0, max: 13 }), { nil: undefined, freq: 5 }),
    double: fc.boolean(),
    cross: fc.boolean(),
    skip: fc.option(fc.integer({ min: 0, max: 12 }), { nil: undefined, freq: 3 }),
    wrongCount: fc.boolean(),
    refuse: fc.option(
        fc.constantFrom(
            { status: 503, error: "overloaded", retryAfterMs: 100 },
            { status: 500, error: "internal" },
        ),
        { nil: undefined, freq: 4 },
    ),
});

describe("streams under random faults", () => {
    let engines: ScriptedEngine[];

    beforeEach(async () => {
        engines = [await ScriptedEngine.start(), await ScriptedEngine.start(), await ScriptedEngine.start()];
    });

    afterEach(async () => {
        await Promise.all(engines.map(engine => engine.stop()));
    });

    async function runScripts(scripts: EngineScript[], maxTokens: number): Promise<void> {
        const fixture = RouterFixture.create();
        engines.forEach((engine, index) => fixture.addGroup(`g${index}`, { url: engine.url }));
        const remainingScripts = [...scripts];
        engines.forEach(engine => {
            engine.scripts.shift = () => remainingScripts.shift();
        });
        const pending = fixture.chat({ stream: true, max_tokens: maxTokens });
        let isFinished = false;
        void pending.then(() => {
            isFinished = true;
        });
        while (!isFinished) {
            await fixture.clock.advance(100);
        }
        const response = await pending;
        const expected = expectedText(helloPrompt, maxTokens);
        if (response.statusCode === 200) {
            const streamed = readChatStream(response.payload);
            expect(streamed.isDone ? streamed.text : expected.slice(0, streamed.text.length)).to.equal(
                streamed.isDone ? expected : streamed.text,
            );
            expect(streamed.isDone || streamed.error !== undefined).to.equal(true);
        }
        else {
            expect(response.json()).to.have.nested.property("error.ran");
        }
        await fixture.stop();
    }

    it(`sends the expected tokens or a well-formed error (seed ${SEED}, ${RUNS} runs)`, async () => {
        const scripts = fc.array(scriptArbitrary, { maxLength: 6 });
        await fc.assert(
            fc.asyncProperty(scripts, fc.integer({ min: 1, max: 12 }), runScripts),
            { seed: SEED, numRuns: RUNS },
        );
    });
});

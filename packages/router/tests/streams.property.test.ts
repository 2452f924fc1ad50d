import { expect } from "chai";
import fc from "fast-check";
import { readChatStream } from "./support/answers.js";
import { helloPrompt, RouterFixture } from "./support/RouterFixture.js";
import { answerTo, type EngineScript, ScriptedEngine } from "./support/ScriptedEngine.js";

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
        const rest = [...scripts];
        engines.forEach(engine => {
            engine.scripts.shift = () => rest.shift();
        });
        const pending = fixture.chat({ stream: true, max_tokens: maxTokens });
        let isSettled = false;
        void pending.then(() => {
            isSettled = true;
        });
        while (!isSettled) {
            await fixture.clock.advance(100);
        }
        const response = await pending;
        const expected = answerTo(helloPrompt, maxTokens);
        if (response.statusCode === 200) {
            const answer = readChatStream(response.payload);
            expect(answer.isDone ? answer.text : expected.slice(0, answer.text.length)).to.equal(
                answer.isDone ? expected : answer.text,
            );
            expect(answer.isDone || answer.error !== undefined).to.equal(true);
        }
        else {
            expect(response.json()).to.have.nested.property("error.ran");
        }
        await fixture.stop();
    }

    it(`gives the expected tokens or a clear error (seed ${SEED}, ${RUNS} runs)`, async () => {
        const scripts = fc.array(scriptArbitrary, { maxLength: 6 });
        await fc.assert(
            fc.asyncProperty(scripts, fc.integer({ min: 1, max: 12 }), runScripts),
            { seed: SEED, numRuns: RUNS },
        );
    });
});

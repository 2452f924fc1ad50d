/** Returns a function that computes the result for an object once and keeps it for as long as the object. */
export function memoizeByObject<T extends object, R>(compute: (object: T) => R): (object: T) => R {
    const results = new WeakMap<T, { value: R; }>();
    return object => {
        let result = results.get(object);
        if (!result) {
            result = { value: compute(object) };
            results.set(object, result);
        }
        return result.value;
    };
}

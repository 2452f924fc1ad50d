/** Returns the slope of the least-squares line through the points, or 0 for fewer than two points. */
export function fitSlope(points: ReadonlyArray<{ x: number; y: number; }>): number {
    const count = points.length;
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    return variance > 0 ? covariance / variance : 0;
}

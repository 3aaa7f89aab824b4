//go:build race

package faults

// cellStride is the distance between the cells of a matrix that run. The race
// detector runs only some of them: a run starts no goroutines, so the detector
// has nothing to observe, and makes each run many times slower.
const cellStride = 16

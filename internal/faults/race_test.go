//go:build race

package faults

// cellStride thins the matrix out under the race detector: a run has no
// goroutines of its own to observe and is many times slower.
const cellStride = 16

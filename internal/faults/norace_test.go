//go:build !race

package faults

// cellStride is the distance between the cells of a matrix that run: all of them.
const cellStride = 1

//go:build !race

package faults

// cellStride runs every cell of the matrix.
const cellStride = 1

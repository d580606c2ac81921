//go:build !race

package virtual

// Race says that the program was built with the race detector.
const Race = false

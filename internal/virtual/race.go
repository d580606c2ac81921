//go:build race

package virtual

// Race reports whether the program was built with the race detector.
const Race = true

//go:build !race

package virtual

// raceEnabled says that the program was built with the race detector.
const raceEnabled = false

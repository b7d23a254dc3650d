//go:build race

package lease

const raceDetector = true

//go:build !race

package lease

const raceDetector = false

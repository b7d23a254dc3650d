//go:build race

package duty

const raceDetector = true

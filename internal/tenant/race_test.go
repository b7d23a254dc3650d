//go:build race

package tenant

const raceDetector = true

//go:build !race

package tenant

const raceDetector = false

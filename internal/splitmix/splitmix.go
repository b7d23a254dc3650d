// Package splitmix provides the finalizer of the SplitMix64 generator, which spreads similar numbers evenly
// over 64 bits.
package splitmix

// Increment is the step of the SplitMix64 generator, 2^64 divided by the golden ratio.
const Increment = 0x9e3779b97f4a7c15

// Mix returns a hash of z. It is a bijection and maps 0 to 0.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

package hasher

import "github.com/cespare/xxhash/v2"

// separator keeps "ab", "c" and "a", "bc" apart. It stands in no name.
const separator = "\x00"

// Weight is the rendezvous weight of a candidate for a key: the candidate with the
// highest weight is chosen. It is the same in all processes and versions.
func Weight(key, candidate string) uint64 {
	digest := xxhash.Digest{}
	digest.Reset()

	// Writing to a digest does not fail.
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(candidate)

	return digest.Sum64()
}

// bitsOfUnit are as many as a float64 holds exactly.
const bitsOfUnit = 53

// Unit is the weight as a number between 0 and 1, both excluded.
func Unit(key, candidate string) float64 {
	return (float64(Weight(key, candidate)>>(64-bitsOfUnit)) + 0.5) / (1 << bitsOfUnit)
}

package membership

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Patch makes a record's value from an earlier one, of which a part in the middle was replaced. A value that is renewed
// again and again, such as the end of a lease in a long list, so spreads at the cost of what changed in it.
type Patch struct {
	Key string
	// Base is the version of the earlier value, and Version that of the new one.
	Base    Version
	Version Version
	// Prefix and Suffix are how many bytes of the earlier value stand before and after Middle.
	Prefix int
	Suffix int
	Middle []byte
	// Checksum is the checksum of the new value.
	Checksum uint64
}

// minPatchSaving is how many bytes a patch must spare to be used.
const minPatchSaving = 64

// NewPatch returns the patch from one record to another, and whether it is worth while.
func NewPatch(from, to Record) (Patch, bool) {
	prefix := commonPrefix(from.Value, to.Value)
	suffix := commonSuffix(from.Value[prefix:], to.Value[prefix:])
	patch := Patch{
		Key:      to.Key,
		Base:     from.Version,
		Version:  to.Version,
		Prefix:   prefix,
		Suffix:   suffix,
		Middle:   to.Value[prefix : len(to.Value)-suffix],
		Checksum: xxhash.Sum64(to.Value),
	}
	return patch, prefix+suffix > minPatchSaving
}

// Apply returns the new record. It reports false where the record held is not the one that the patch was made from.
func (p Patch) Apply(held Record) (Record, bool) {
	if held.Version != p.Base || p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(held.Value) {
		return Record{}, false
	}
	value := bytes.Join([][]byte{held.Value[:p.Prefix], p.Middle, held.Value[len(held.Value)-p.Suffix:]}, nil)
	return Record{Key: p.Key, Version: p.Version, Value: value}, xxhash.Sum64(value) == p.Checksum
}

func commonPrefix(a, b []byte) int {
	count := 0
	for count < len(a) && count < len(b) && a[count] == b[count] {
		count++
	}
	return count
}

func commonSuffix(a, b []byte) int {
	count := 0
	for count < len(a) && count < len(b) && a[len(a)-1-count] == b[len(b)-1-count] {
		count++
	}
	return count
}

package membership

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Patch makes the new value of a record from an earlier one by replacing bytes in the middle. A value that is renewed
// frequently, such as the end of a lease in a long list, can then be sent at the cost of the bytes that changed.
type Patch struct {
	Key string
	// Base is the version of the earlier value, and Version the version of the new one.
	Base    Version
	Version Version
	// Prefix and Suffix are how many bytes of the earlier value are kept before and after Middle.
	Prefix int
	Suffix int
	Middle []byte
	// Checksum is the xxhash of the new value.
	Checksum uint64
}

// minPatchSaving is the number of unchanged bytes above which a patch is used instead of the value. A patch has bytes of
// its own: its base version, its lengths and its checksum.
const minPatchSaving = 64

// NewPatch returns the patch from one record to another, and whether it saves enough bytes to be used.
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

// Apply returns the new record. It reports false if the held record is not the one that the patch was made from.
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

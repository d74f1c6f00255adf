package peer

// Versions tells other nodes which version of the routes is in force here, and learns which versions they have. Its
// methods are called for each message and must not block.
type Versions interface {
	// InForce returns the version in force on this node; 0 if there is none.
	InForce() uint64
	// Heard is called with the version in force on the named node, and HeardAt with that on the node at the address. The
	// version is 0 if the node has none, or told none.
	Heard(node string, version uint64)
	HeardAt(address string, version uint64)
}

// noVersions is the Versions of a node that has no routes.
type noVersions struct{}

// InForce returns 0.
func (noVersions) InForce() uint64 { return 0 }

// Heard ignores the version.
func (noVersions) Heard(string, uint64) {}

// HeardAt ignores the version.
func (noVersions) HeardAt(string, uint64) {}

func versionsOrNone(v Versions) Versions {
	if v == nil {
		return noVersions{}
	}
	return v
}

package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// EveryTeam is the team whose token may edit each document and stop the node.
const EveryTeam = "*"

// Identity is whose a bearer token is.
type Identity struct {
	Team string
	// Editor is a person of the team; empty for the team as a whole.
	Editor string
}

// String names the identity in histories and events: "team", or "team/editor".
func (i Identity) String() string {
	if i.Editor == "" {
		return i.Team
	}
	return i.Team + "/" + i.Editor
}

// Tokens knows whose each bearer token is. It keeps hashes only, so that no token gets into logs or dumps.
type Tokens struct {
	identities []Identity
	hashes     [][sha256.Size]byte
}

// NewTokens returns the tokens of the holders, which are no two the same.
func NewTokens(byIdentity map[Identity]string) *Tokens {
	t := &Tokens{}
	for identity, token := range byIdentity {
		t.identities = append(t.identities, identity)
		t.hashes = append(t.hashes, sha256.Sum256([]byte(token)))
	}
	return t
}

// Identify returns whose the token is. The comparison takes the same time whatever the token is.
func (t *Tokens) Identify(token string) (Identity, bool) {
	hash := sha256.Sum256([]byte(token))
	identity, found := Identity{}, false
	for i := range t.hashes {
		if subtle.ConstantTimeCompare(hash[:], t.hashes[i][:]) == 1 {
			identity, found = t.identities[i], true
		}
	}
	return identity, found
}

func bearerToken(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}

package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// EveryTeam is the team of the operators. Its tokens permit edits of all documents and the stop of the node.
const EveryTeam = "*"

// Identity is the holder of a bearer token.
type Identity struct {
	Team string
	// Editor is a member of the team; empty if the token is the team's own.
	Editor string
}

// String returns the identity as shown in histories and events: "team" or "team/editor".
func (i Identity) String() string {
	if i.Editor == "" {
		return i.Team
	}
	return i.Team + "/" + i.Editor
}

// Tokens maps bearer tokens to identities. It stores only hashes, so that no token can appear in logs or dumps.
type Tokens struct {
	identities []Identity
	hashes     [][sha256.Size]byte
}

// NewTokens returns the tokens of the given identities. All tokens must be different.
func NewTokens(byIdentity map[Identity]string) *Tokens {
	t := &Tokens{}
	for identity, token := range byIdentity {
		t.identities = append(t.identities, identity)
		t.hashes = append(t.hashes, sha256.Sum256([]byte(token)))
	}
	return t
}

// Identify returns the holder of the token. The comparison takes the same time for every token.
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

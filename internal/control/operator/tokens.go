package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// EveryTeam is the team whose token may edit each document and stop the node.
const EveryTeam = "*"

// Tokens knows the team of each bearer token. It keeps hashes only, so that no token gets into logs or dumps.
type Tokens struct {
	teams  []string
	hashes [][sha256.Size]byte
}

// NewTokens returns the tokens of the teams.
func NewTokens(byTeam map[string]string) *Tokens {
	t := &Tokens{}
	for team, token := range byTeam {
		t.teams = append(t.teams, team)
		t.hashes = append(t.hashes, sha256.Sum256([]byte(token)))
	}
	return t
}

// Team returns the team of the token. The comparison takes the same time whatever the token is.
func (t *Tokens) Team(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	team, found := "", false
	for i := range t.hashes {
		if subtle.ConstantTimeCompare(hash[:], t.hashes[i][:]) == 1 {
			team, found = t.teams[i], true
		}
	}
	return team, found
}

func bearer(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}

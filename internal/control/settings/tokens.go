package settings

import (
	"regexp"
	"strings"

	"github.com/gravitational/trace"
)

// Token is a bearer token of the administration API and whose it is.
type Token struct {
	Team string
	// Editor is a person of the team; empty for the team as a whole.
	Editor string
	// Secret is the token itself. It must not get into logs, dumps or errors.
	Secret string
}

// holder names whose the token is, as the settings do.
func (t Token) holder() string {
	if t.Editor == "" {
		return t.Team
	}
	return t.Team + tokenEditorSeparator + t.Editor
}

// editorPattern are the names that an editor may have.
var editorPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// TokenList returns the tokens, of which each holder has one.
func (o Operator) TokenList() ([]Token, error) {
	var tokens []Token
	for _, pair := range splitList(o.Tokens) {
		t, err := parseToken(pair)
		if err != nil {
			return nil, err
		}
		for _, other := range tokens {
			if err := t.checkDistinct(other); err != nil {
				return nil, err
			}
		}
		tokens = append(tokens, t)
	}
	return tokens, nil
}

func parseToken(pair string) (Token, error) {
	holder, secret, found := strings.Cut(pair, tokenTeamSeparator)
	team, editor, hasEditor := strings.Cut(holder, tokenEditorSeparator)
	t := Token{Team: team, Editor: editor, Secret: secret}
	switch {
	case !found || team == "":
		return t, trace.BadParameter("a pair is not team:token or team/editor:token")
	case hasEditor && !editorPattern.MatchString(editor):
		return t, trace.BadParameter("the editor of %q must be letters, digits, and . _ @ - after the first, at most 64 in all", holder)
	case len(secret) < minTokenBytes:
		return t, trace.BadParameter("the token of %q is shorter than %d bytes", holder, minTokenBytes)
	}
	return t, nil
}

// checkDistinct returns an error where two tokens can't be told apart.
func (t Token) checkDistinct(other Token) error {
	switch {
	case t.holder() == other.holder() && t.Editor == "":
		return trace.BadParameter("the team %q stands twice", t.Team)
	case t.holder() == other.holder():
		return trace.BadParameter("the editor %q stands twice", t.holder())
	case t.Secret == other.Secret:
		return trace.BadParameter("%q and %q have the same token", other.holder(), t.holder())
	}
	return nil
}
